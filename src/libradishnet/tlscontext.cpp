#include "tlscontext.h"

#include "base/failure.h"
#include "http2transport.h"

#include <openssl/ssl.h>

#include <array>

namespace RadishSwitch
{

namespace
{

using boost::system::error_code;
using Context = boost::asio::ssl::context;

/// The name of HTTP/2 in ALPN's wire form, behind its length.
constexpr std::array<unsigned char, 3> kProtocols{2, 'h', '2'};

int selectProtocol(SSL *, const unsigned char **selected, unsigned char *selectedLength, const unsigned char *offered,
                   unsigned int offeredLength, void *)
{
    unsigned char *protocol = nullptr;
    const int result =
        SSL_select_next_proto(&protocol, selectedLength, kProtocols.data(), kProtocols.size(), offered, offeredLength);
    *selected = protocol;
    return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
}

absl::Status loadFiles(Context &context, const TransportSettings &settings)
{
    error_code ec;
    std::string file = settings.certificateFile;
    context.use_certificate_chain_file(file, ec);
    if (!ec) {
        file = settings.privateKeyFile;
        context.use_private_key_file(file, Context::pem, ec);
    }
    if (!ec) {
        file = settings.authorityFile;
        context.load_verify_file(file, ec);
    }
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings, "can't use " + file + ": " + ec.message());
    }
    context.set_verify_mode(boost::asio::ssl::verify_peer | boost::asio::ssl::verify_fail_if_no_peer_cert, ec);
    return absl::OkStatus();
}

}

TlsContext::TlsContext()
    : m_server(Context::tls_server)
    , m_client(Context::tls_client)
{
    for (Context *context : {&m_server, &m_client}) {
        SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_3_VERSION);
    }
    // Connections last; a ticket to resume one would never be used.
    SSL_CTX_set_num_tickets(m_server.native_handle(), 0);
    SSL_CTX_set_alpn_select_cb(m_server.native_handle(), selectProtocol, nullptr);
    SSL_CTX_set_alpn_protos(m_client.native_handle(), kProtocols.data(), kProtocols.size());
}

absl::StatusOr<std::shared_ptr<TlsContext>> TlsContext::load(const TransportSettings &settings)
{
    const std::array files{&settings.certificateFile, &settings.privateKeyFile, &settings.authorityFile};
    const auto isEmpty = [](const std::string *file) {
        return file->empty();
    };
    if (std::all_of(files.begin(), files.end(), isEmpty)) {
        return nullptr;
    }
    if (std::any_of(files.begin(), files.end(), isEmpty)) {
        return makeFailure(FailureCode::InvalidSettings, "TLS needs a certificate, a private key and an authority");
    }
    const std::shared_ptr<TlsContext> tls(new TlsContext);
    for (Context *context : {&tls->m_server, &tls->m_client}) {
        if (absl::Status status = loadFiles(*context, settings); !status.ok()) {
            return status;
        }
    }
    return tls;
}

boost::asio::ssl::context &TlsContext::forServer()
{
    return m_server;
}

boost::asio::ssl::context &TlsContext::forClient()
{
    return m_client;
}

}
