#include "loopbackfixture.h"

#include <boost/asio/ssl.hpp>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <filesystem>
#include <unistd.h>

using namespace RadishSwitch;
namespace ssl = boost::asio::ssl;

namespace
{

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<FILE, decltype(&fclose)>;

/// A fresh key and a certificate for it that it signed itself.
void writePair(const std::string &certificateFile, const std::string &keyFile)
{
    const Key key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const Certificate certificate(X509_new(), &X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME *name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>("test"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    const File certificates(fopen(certificateFile.c_str(), "w"), &fclose);
    PEM_write_X509(certificates.get(), certificate.get());
    const File keys(fopen(keyFile.c_str(), "w"), &fclose);
    PEM_write_PrivateKey(keys.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

}

class HttpTlsTest : public LoopbackFixture
{
protected:
    HttpTlsTest()
        : m_folder(std::filesystem::temp_directory_path() / ("httptls-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        settings.certificateFile = m_folder / "certificate.pem";
        settings.privateKeyFile = m_folder / "key.pem";
        writePair(settings.certificateFile, settings.privateKeyFile);
    }

    ~HttpTlsTest() override
    {
        std::filesystem::remove_all(m_folder);
    }

    HttpServer &startEcho()
    {
        return start(
            [](HttpExchange &exchange) -> boost::asio::awaitable<void> {
                HttpResponse response;
                response.body = exchange.request().body;
                (void)co_await exchange.respond(std::move(response));
            },
            settings);
    }

    HttpServerSettings settings;

private:
    std::filesystem::path m_folder;
};

TEST_F(HttpTlsTest, request_overTls_isAnsweredAndConnectionEndsInOrder)
{
    HttpServer &server = startEcho();
    boost::asio::io_context context;
    ssl::context tls(ssl::context::tls_client);
    tls.load_verify_file(settings.certificateFile);
    tls.set_verify_mode(ssl::verify_peer);
    ssl::stream<boost::asio::ip::tcp::socket> stream(context, tls);
    stream.next_layer().connect({boost::asio::ip::address_v4::loopback(), server.port()});
    stream.handshake(ssl::stream_base::client);

    const std::string request = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello";
    boost::asio::write(stream, boost::asio::buffer(request));
    boost::system::error_code ec;
    std::string answer;
    boost::asio::read(stream, boost::asio::dynamic_buffer(answer), ec);

    EXPECT_EQ(ec, boost::asio::error::eof) << ec.message();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nhello")) << answer;
}

TEST_F(HttpTlsTest, request_withoutTls_isNotServed)
{
    HttpServer &server = startEcho();

    EXPECT_EQ(exchangeRaw(server.port(), "GET / HTTP/1.1\r\n\r\n").find("HTTP/"), std::string::npos);
    EXPECT_EQ(server.requestsInProgress(), 0);
}
