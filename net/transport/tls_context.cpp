// OpenSSL reads files only when a context is created, so a replaced certificate requires a new context; open connections keep the old one. The files are
// checked for changes on each new connection, with three stat calls and without a timer or signal. If certificate and key do not match, for example because
// only the certificate has been replaced so far, the last valid context stays in use. The role of a peer is the organizational unit of its certificate: "node"
// for processes of the system, "operator" for operators' tools.

#include "net/transport/tls_context.h"

#include <boost/asio/error.hpp>
#include <openssl/x509.h>
#include <sys/stat.h>

namespace reedtrail {
namespace {

constexpr int roleBufferBytes = 64;

std::string fileStamp(const std::string &file)
{
    struct stat state
    {
    };
    if (::stat(file.c_str(), &state) != 0) {
        return file + " missing;";
    }
    return std::to_string(state.st_mtim.tv_sec) + "." + std::to_string(state.st_mtim.tv_nsec) + "/" + std::to_string(state.st_ino) + "/"
        + std::to_string(state.st_size) + ";";
}

} // namespace

tls_context_source::tls_context_source(tls_files files, tls_side side, tls_peer_check check)
    : m_files(std::move(files))
    , m_side(side)
    , m_check(check)
{
}

std::string tls_context_source::currentFileStamps() const
{
    return fileStamp(m_files.certificateFile) + fileStamp(m_files.keyFile) + fileStamp(m_files.authorityFile);
}

std::shared_ptr<boost::asio::ssl::context> tls_context_source::current(std::string &error)
{
    error.clear();
    const std::string stamp = currentFileStamps();
    if (m_context && stamp == m_stamp) {
        return m_context;
    }
    const std::shared_ptr<boost::asio::ssl::context> loaded = loadContext(error);
    if (loaded) {
        m_context = loaded;
        m_stamp = stamp;
    }
    return m_context;
}

std::shared_ptr<boost::asio::ssl::context> tls_context_source::loadContext(std::string &error) const
{
    namespace ssl = boost::asio::ssl;
    const auto method = m_side == tls_side::Server ? ssl::context::tls_server : ssl::context::tls_client;
    auto context = std::make_shared<ssl::context>(method);
    boost::system::error_code failure;
    const auto attempt = [&](const std::string &file, auto action) {
        if (error.empty() && !file.empty()) {
            action();
            error = failure ? file + ": " + failure.message() : "";
        }
    };
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, failure);
    attempt(m_files.certificateFile, [&] {
        context->use_certificate_chain_file(m_files.certificateFile, failure);
    });
    attempt(m_files.keyFile, [&] {
        context->use_private_key_file(m_files.keyFile, ssl::context::pem, failure);
    });
    attempt(m_files.authorityFile, [&] {
        context->load_verify_file(m_files.authorityFile, failure);
    });
    const bool demandsCertificate = m_side == tls_side::Client || m_check == tls_peer_check::Required;
    context->set_verify_mode(demandsCertificate ? ssl::verify_peer | ssl::verify_fail_if_no_peer_cert : ssl::verify_none, failure);
    return error.empty() ? context : nullptr;
}

std::string peerRole(SSL *ssl)
{
    X509 *certificate = SSL_get1_peer_certificate(ssl);
    if (certificate == nullptr) {
        return "";
    }
    char role[roleBufferBytes] = {};
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_organizationalUnitName, role, sizeof(role));
    X509_free(certificate);
    return role;
}

} // namespace reedtrail
