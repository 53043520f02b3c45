#include "fleet/caller_access.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <map>

namespace reedtrail {
namespace {

std::shared_ptr<const customer_directory> directoryOf(std::vector<customer_spec> specs)
{
    std::shared_ptr<const customer_directory> made;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(made, customer_directory::make(specs));
        return {};
    });
    return error ? nullptr : made;
}

// Guards against a configuration that leaves open whose request a key brings.
TEST(customer_directory_test, ambiguousCustomersAreRefused)
{
    struct test_case
    {
        const char *what;
        std::vector<customer_spec> specs;
        bool isUsable;
    };
    const test_case rows[] = {
        { "no customers", {}, true },
        { "a customer without keys", { { "a", {}, {} } }, true },
        { "several keys", { { "a", { "k1", "k2" }, {} }, { "b", { "k3" }, 1 } }, true },
        { "a key listed twice", { { "a", { "k1", "k1" }, {} } }, true },
        { "two customers of one name", { { "a", { "k1" }, {} }, { "a", { "k2" }, {} } }, false },
        { "a key of two customers", { { "a", { "k1" }, {} }, { "b", { "k2", "k1" }, {} } }, false },
        { "no name", { { "", { "k1" }, {} } }, false },
        { "a name with a line end", { { "a\r\nx: y", { "k1" }, {} } }, false },
        { "an empty key", { { "a", { "" }, {} } }, false },
        { "a long key", { { "a", { std::string(customer_directory::maxKeyBytes, 'k') }, {} } }, true },
        { "a key too long", { { "a", { std::string(customer_directory::maxKeyBytes + 1, 'k') }, {} } }, false },
    };
    for (const test_case &row : rows) {
        EXPECT_EQ(directoryOf(row.specs) != nullptr, row.isUsable) << row.what;
    }
}

// Guards against a look-up that takes a key for another one's, with as many customers as the largest deployment has.
TEST(customer_directory_test, keysFindTheirCustomers)
{
    random_source random(7);
    std::vector<customer_spec> specs;
    std::map<std::string, std::string> oracle;
    for (int i = 0; i < 10000; ++i) {
        customer_spec spec{ "customer-" + std::to_string(i), {}, {} };
        for (std::uint64_t each = random.below(3); each > 0; --each) {
            spec.keys.push_back("key-" + std::to_string(random.next()));
            oracle[spec.keys.back()] = spec.name;
        }
        specs.push_back(spec);
    }
    const auto customers = directoryOf(specs);
    ASSERT_TRUE(customers);
    for (const auto &[key, name] : oracle) {
        const customer *found = customers->find(key);
        ASSERT_TRUE(found);
        EXPECT_EQ(found->name, name);
        EXPECT_FALSE(customers->find(key + "0"));
        EXPECT_FALSE(customers->find(key.substr(1)));
    }
    EXPECT_EQ(customers->named("customer-9999")->name, "customer-9999");
    EXPECT_FALSE(customers->named("customer-10000"));
    EXPECT_FALSE(customers->find(""));
    EXPECT_FALSE(customers->find("customer-1"));
}

TEST(customer_directory_test, labelDoesNotShowKey)
{
    const std::string label = customer_directory::label("nirth5mgjy5rcpihhacr");
    EXPECT_EQ(label.size(), 8U);
    EXPECT_NE(label, customer_directory::label("nirth5mgjy5rcpihhacs"));
    EXPECT_EQ(std::string("nirth5mgjy5rcpihhacr").find(label), std::string::npos);
}

// Guards against callers who are denied though a newer configuration may know them, and against callers who are let in without a key.
TEST(customer_directory_test, callersAreJudged)
{
    using outcome = access_verdict::outcome;
    using kind = presented_key::kind;
    const auto customers = directoryOf({ { "a", { "k1" }, {} } });
    struct test_case
    {
        const char *what;
        bool hasCustomers;
        bool isOpen;
        presented_key presented;
        bool isCurrent;
        outcome expected;
        std::optional<std::string> customer;
    };
    const test_case rows[] = {
        { "a deployment without customers", false, false, { kind::Single, "k1" }, true, outcome::Open, std::nullopt },
        { "a known key", true, false, { kind::Single, "k1" }, true, outcome::Granted, "a" },
        { "a known key, old configuration", true, false, { kind::Single, "k1" }, false, outcome::Granted, "a" },
        { "an unknown key", true, false, { kind::Single, "k2" }, true, outcome::Denied, std::nullopt },
        { "an unknown key, old configuration", true, false, { kind::Single, "k2" }, false, outcome::Unsure, std::nullopt },
        { "no key", true, false, {}, true, outcome::Denied, std::nullopt },
        { "no key, old configuration", true, false, {}, false, outcome::Denied, std::nullopt },
        { "two keys", true, false, { kind::Malformed, "" }, true, outcome::Denied, std::nullopt },
        { "an open route", true, true, {}, true, outcome::Open, "" },
        { "an open route with a known key", true, true, { kind::Single, "k1" }, true, outcome::Granted, "a" },
        { "an open route with an unknown key", true, true, { kind::Single, "k2" }, true, outcome::Open, "" },
    };
    for (const test_case &row : rows) {
        const access_verdict verdict = judgeAccess(row.hasCustomers ? customers.get() : nullptr, row.isOpen, row.presented, row.isCurrent);
        EXPECT_EQ(verdict.what, row.expected) << row.what;
        EXPECT_EQ(verdict.customer, row.customer) << row.what;
    }
    EXPECT_TRUE(mayUseJob("a", "a"));
    EXPECT_FALSE(mayUseJob("b", "a"));
    EXPECT_FALSE(mayUseJob("", "a")) << "a caller without a key";
    EXPECT_TRUE(mayUseJob("a", "")) << "a job from before the deployment had customers";
    EXPECT_TRUE(mayUseJob(std::nullopt, "a")) << "the deployment has no customers any more";
}

} // namespace
} // namespace reedtrail
