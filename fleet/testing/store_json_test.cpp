#include "fleet/store_json.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace reedtrail {
namespace {

using nlohmann::json;

RC_GTEST_PROP(base64, decodesWhatItEncoded, (const std::string &bytes))
{
    std::string decoded;
    RC_ASSERT(!failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(decoded, decodeBase64(encodeBase64(bytes)));
        return {};
    }));
    RC_ASSERT(decoded == bytes);
}

TEST(store_json, encodesTransactionInGatewayFormat)
{
    store_txn txn;
    txn.compares = { store_compare::absent("a"), store_compare::unchanged("b", 7), store_compare::hasValue("c", "v") };
    txn.onSuccess = { store_put{ "a", "1", 12 }, store_delete{ "p/", true } };
    txn.onFailure = { store_range{ "a", false, 3 } };
    const json expected = json::parse(R"({
        "compare": [{"key":"YQ==","target":"VERSION","result":"EQUAL","version":"0"},
                    {"key":"Yg==","target":"MOD","result":"EQUAL","mod_revision":"7"},
                    {"key":"Yw==","target":"VALUE","result":"EQUAL","value":"dg=="}],
        "success": [{"request_put":{"key":"YQ==","value":"MQ==","lease":"12"}},
                    {"request_delete_range":{"key":"cC8=","range_end":"cDA="}}],
        "failure": [{"request_range":{"key":"YQ==","limit":"3"}}]})");
    EXPECT_EQ(json::parse(encodeStoreCall(txn)), expected);
    EXPECT_EQ(storePath(txn), "/v3/kv/txn");
}

TEST(store_json, prefixEndFollowsAllKeysOfPrefix)
{
    EXPECT_EQ(prefixEnd("a"), "b");
    EXPECT_EQ(prefixEnd("a\xFF"), "b");
    EXPECT_EQ(prefixEnd("\xFF"), std::string(1, '\0'));
}

} // namespace
} // namespace reedtrail
