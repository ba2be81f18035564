#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <memory>
#include <string>

/// An authority made for one test, and certificates that it signs, as PEM files.
class TestAuthority
{
public:
    /// Files go into `folder`, their names begin with `name`.
    TestAuthority(const std::string &folder, const std::string &name)
        : m_prefix(folder + "/" + name)
        , m_key(EVP_EC_gen("P-256"), EVP_PKEY_free)
        , m_certificate(makeCertificate(name, m_key.get(), nullptr), X509_free)
    {
        writeCertificate(file(), m_certificate.get());
    }

    /// The authority's own certificate.
    std::string file() const
    {
        return m_prefix + "-authority.pem";
    }

    std::string certificateFile() const
    {
        return m_prefix + "-certificate.pem";
    }

    std::string privateKeyFile() const
    {
        return m_prefix + "-key.pem";
    }

    /// Writes a certificate of a process and its key.
    void issue()
    {
        const KeyPointer key(EVP_EC_gen("P-256"), EVP_PKEY_free);
        const CertificatePointer certificate(makeCertificate("process", key.get(), this), X509_free);
        writeCertificate(certificateFile(), certificate.get());
        std::FILE *out = std::fopen(privateKeyFile().c_str(), "w");
        PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(out);
    }

private:
    using KeyPointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using CertificatePointer = std::unique_ptr<X509, decltype(&X509_free)>;

    /// Signed by `signer`, or by itself when that is null.
    static X509 *makeCertificate(const std::string &name, EVP_PKEY *key, const TestAuthority *signer)
    {
        constexpr long kValidSeconds = 3600;
        constexpr long kVersion3 = 2;
        X509 *certificate = X509_new();
        X509_set_version(certificate, kVersion3);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), signer ? 2 : 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), -kValidSeconds);
        X509_gmtime_adj(X509_getm_notAfter(certificate), kValidSeconds);
        X509_set_pubkey(certificate, key);
        X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
        X509 *const issuer = signer ? signer->m_certificate.get() : certificate;
        X509_set_issuer_name(certificate, X509_get_subject_name(issuer));
        if (!signer) {
            addAuthorityExtension(certificate);
        }
        X509_sign(certificate, signer ? signer->m_key.get() : key, EVP_sha256());
        return certificate;
    }

    static void addAuthorityExtension(X509 *certificate)
    {
        X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }

    static void writeCertificate(const std::string &file, X509 *certificate)
    {
        std::FILE *out = std::fopen(file.c_str(), "w");
        PEM_write_X509(out, certificate);
        std::fclose(out);
    }

    const std::string m_prefix;
    const KeyPointer m_key;
    const CertificatePointer m_certificate;
};
