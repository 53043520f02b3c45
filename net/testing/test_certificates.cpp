// Creating a P-256 key takes less than a millisecond, so each test creates its own keys.

#include "net/testing/test_certificates.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

namespace reedtrail::testing_support {
namespace {

constexpr long validSeconds = 3600;

void addText(X509_NAME *name, const char *field, const std::string &text)
{
    X509_NAME_add_entry_by_txt(name, field, MBSTRING_ASC, reinterpret_cast<const unsigned char *>(text.c_str()), -1, -1, 0);
}

X509 *makeCertificate(EVP_PKEY *key, const std::string &name, const std::string &role, X509 *issuer, EVP_PKEY *issuerKey, long serial)
{
    X509 *certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), validSeconds);
    X509_set_pubkey(certificate, key);
    addText(X509_get_subject_name(certificate), "CN", name);
    addText(X509_get_subject_name(certificate), "OU", role);
    X509_set_issuer_name(certificate, X509_get_subject_name(issuer == nullptr ? certificate : issuer));
    if (issuer == nullptr) {
        X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }
    X509_sign(certificate, issuerKey, EVP_sha256());
    return certificate;
}

} // namespace

struct test_authority::implementation
{
    std::filesystem::path folder;
    EVP_PKEY *key = nullptr;
    X509 *certificate = nullptr;
    long nextSerial = 2;

    std::string writeCertificate(const std::string &name, X509 *certificateToSave) const
    {
        const std::string file = (folder / (name + ".crt")).string();
        std::FILE *stream = std::fopen(file.c_str(), "w");
        PEM_write_X509(stream, certificateToSave);
        std::fclose(stream);
        return file;
    }
    std::string writeKey(const std::string &name, EVP_PKEY *privateKey) const
    {
        const std::string file = (folder / (name + ".key")).string();
        std::FILE *stream = std::fopen(file.c_str(), "w");
        PEM_write_PrivateKey(stream, privateKey, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(stream);
        return file;
    }
};

test_authority::test_authority()
    : m_implementation(new implementation)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "reedtrail-tls-XXXXXX").string();
    m_implementation->folder = ::mkdtemp(pattern.data());
    m_implementation->key = EVP_EC_gen("P-256");
    m_implementation->certificate = makeCertificate(m_implementation->key, "authority", "authority", nullptr, m_implementation->key, 1);
    m_implementation->writeCertificate("authority", m_implementation->certificate);
}

test_authority::~test_authority()
{
    std::filesystem::remove_all(m_implementation->folder);
    X509_free(m_implementation->certificate);
    EVP_PKEY_free(m_implementation->key);
    delete m_implementation;
}

tls_files test_authority::issue(const std::string &name, const std::string &role)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = makeCertificate(key, name, role, m_implementation->certificate, m_implementation->key, m_implementation->nextSerial++);
    tls_files files;
    files.certificateFile = m_implementation->writeCertificate(name, certificate);
    files.keyFile = m_implementation->writeKey(name, key);
    files.authorityFile = (m_implementation->folder / "authority.crt").string();
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
}

} // namespace reedtrail::testing_support
