/**
 * @file
 * TLS contexts made from files, made again when a file changes, so that certificates are replaced without a restart. C++17.
 *
 *     tls_context_source source({"node.crt", "node.key", "authority.crt"}, tls_side::Server);
 *     std::shared_ptr<boost::asio::ssl::context> context = source.current(error);    // for each new connection
 */
#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail {

/** Files of one process, PEM. All empty: no TLS. */
struct tls_files
{
    std::string certificateFile; ///< Certificate chain of this process.
    std::string keyFile; ///< Its private key.
    std::string authorityFile; ///< Certificates that others' certificates must be signed by.

    bool isEmpty() const
    {
        return certificateFile.empty() && keyFile.empty() && authorityFile.empty();
    }
};

/** Which end of a connection the context serves. */
enum class tls_side { Server, Client };

/** Whether the other end must show a certificate. A client always demands the server's. */
enum class tls_peer_check { Required, NotAsked };

/** Gives the context of the files as they are now. Not thread-safe: one for each thread. */
class tls_context_source
{
public:
    tls_context_source(tls_files files, tls_side side, tls_peer_check check = tls_peer_check::Required);

    /**
     * Returns the context, made again if a file changed since the last call. If the changed files cannot be used, the last good context stays in use.
     * @param error set to what is wrong with the files, else emptied
     * @return the context, or nothing if there was never a good one
     */
    std::shared_ptr<boost::asio::ssl::context> current(std::string &error);

private:
    std::string stampOfFiles() const;
    std::shared_ptr<boost::asio::ssl::context> make(std::string &error) const;

    tls_files m_files;
    tls_side m_side;
    tls_peer_check m_check;
    std::string m_stamp;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

/** Returns the role of the other end of a connection: the organizational unit of its certificate, or an empty text. @param ssl the connection's SSL object */
std::string peerRole(SSL *ssl);

} // namespace reedtrail
