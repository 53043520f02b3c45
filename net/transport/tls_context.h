/**
 * @file
 * TLS contexts created from files and reloaded when a file changes, so that certificates can be replaced without a restart. C++17.
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

/** Paths of the PEM files of one process. TLS is off if all are empty. */
struct tls_files
{
    std::string certificateFile; ///< Certificate chain of this process.
    std::string keyFile; ///< Private key of the certificate.
    std::string authorityFile; ///< Certificates of the authorities that may sign peers' certificates.

    bool isEmpty() const
    {
        return certificateFile.empty() && keyFile.empty() && authorityFile.empty();
    }
};

/** End of a connection that a context is for. */
enum class tls_side { Server, Client };

/** Whether a server requires a client certificate. A client always requires the server's certificate. */
enum class tls_peer_check { Required, NotRequested };

/** Provides a TLS context for the current contents of the files. Not thread-safe: use one source per thread. */
class tls_context_source
{
public:
    tls_context_source(tls_files files, tls_side side, tls_peer_check check = tls_peer_check::Required);

    /**
     * Returns the context, reloaded if a file has changed since the last call. If the changed files are unusable, the last valid context stays in use.
     * @param error set to the reason why the files are unusable, otherwise cleared
     * @return the context, or null if there has been no valid one
     */
    std::shared_ptr<boost::asio::ssl::context> current(std::string &error);

private:
    std::string currentFileStamps() const;
    std::shared_ptr<boost::asio::ssl::context> loadContext(std::string &error) const;

    tls_files m_files;
    tls_side m_side;
    tls_peer_check m_check;
    std::string m_stamp;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

/** Returns the role of the peer, which is the organizational unit of its certificate, or an empty string. @param ssl SSL object of the connection */
std::string peerRole(SSL *ssl);

} // namespace reedtrail
