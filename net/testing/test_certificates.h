/**
 * @file
 * Certificate authority for tests that issues certificates with roles into a temporary folder.
 */
#pragma once

#include "net/transport/tls_context.h"

#include <string>

namespace reedtrail::testing_support {

/** A certificate authority. Its destructor deletes all issued files. */
class test_authority
{
public:
    test_authority();
    ~test_authority();
    test_authority(const test_authority &) = delete;
    test_authority &operator=(const test_authority &) = delete;

    /** Writes a certificate and key named @p name, with organizational unit @p role, signed by this authority. */
    tls_files issue(const std::string &name, const std::string &role);

private:
    struct implementation;
    implementation *m_implementation;
};

} // namespace reedtrail::testing_support
