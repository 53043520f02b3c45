/**
 * @file
 * Errors as values. A function that can fail returns result<T>; what went wrong travels as a failure (Boost.LEAF).
 *
 *     result<int> parsePort(std::string_view text);      // return fail(error_kind::BadSettings, "listen.callers: ...");
 *     std::optional<failure> error = failureOf([&]() -> result<void> { BOOST_LEAF_AUTO(port, parsePort(text)); ...; return {}; });
 */
#pragma once

#include "base/error_kind.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <utility>

namespace reedtrail {

namespace leaf = boost::leaf;

/** What went wrong: a kind of the closed list, and one line that names the place and what is allowed there. */
struct failure
{
    error_kind kind = error_kind::Internal;
    std::string detail;
};

/** A value, or a failure. */
template<class T>
using result = leaf::result<T>;

/** Makes the error that result<T> carries. @param kind what went wrong @param detail one line for a person */
inline leaf::error_id fail(error_kind kind, std::string detail)
{
    return leaf::new_error(failure{ kind, std::move(detail) });
}

/**
 * Runs @p body, which returns result<void>.
 * @return the failure it ended with, or nothing if it went well
 */
template<class Body>
std::optional<failure> failureOf(Body &&body)
{
    return leaf::try_handle_all(
        [&]() -> result<std::optional<failure>> {
            BOOST_LEAF_CHECK(std::forward<Body>(body)());
            return std::optional<failure>{};
        },
        [](const failure &error) {
            return std::optional<failure>{ error };
        },
        [] {
            return std::optional<failure>{ failure{ error_kind::Internal, "an error without detail" } };
        });
}

} // namespace reedtrail
