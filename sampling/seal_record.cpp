// Each sample is encoded as an array instead of an object to keep values small: a step of 4,096 samples is written, and read whole at a takeover, and the store
// accepts values of up to a megabyte. A batch of the largest size (run_owner_options::maximumBatchSamples, 2,048) is about 230 kB.

#include "sampling/seal_record.h"

#include <nlohmann/json.hpp>

namespace reedtrail {
namespace {

/** Width of the numbers in keys. */
constexpr std::size_t keyNumberWidth = 12;

std::string zeroPadded(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return digits.size() >= keyNumberWidth ? digits : std::string(keyNumberWidth - digits.size(), '0') + digits;
}

nlohmann::json encodeSample(const sealed_sample &sample)
{
    nlohmann::json versions = nlohmann::json::array();
    for (const version_range &range : sample.versions) {
        versions.push_back({ range.from, range.to, range.version });
    }
    return { sample.slot.group, sample.slot.index, sample.draft, std::move(versions), sample.tokens, sample.score, sample.spoolNode.str(), sample.payloadKey };
}

sealed_sample decodeSample(const run_id &run, std::uint64_t step, const nlohmann::json &fields)
{
    sealed_sample sample;
    sample.slot = { run, step, fields.at(0).get<std::uint32_t>(), fields.at(1).get<std::uint32_t>() };
    sample.draft = fields.at(2).get<std::uint64_t>();
    for (const nlohmann::json &range : fields.at(3)) {
        sample.versions.push_back({ range.at(0).get<std::uint64_t>(), range.at(1).get<std::uint64_t>(), range.at(2).get<weight_version>() });
    }
    sample.tokens = fields.at(4).get<std::uint64_t>();
    sample.score = fields.at(5).get<double>();
    sample.spoolNode = node_id(fields.at(6).get<std::string>());
    sample.payloadKey = fields.at(7).get<std::string>();
    return sample;
}

} // namespace

bool seal_record::operator==(const seal_record &other) const
{
    return encodeSealRecord(*this) == encodeSealRecord(other);
}

std::string ownerKey(const run_id &run)
{
    return "reedtrail/runs/" + run.str() + "/owner";
}

std::string sealPrefix(const run_id &run)
{
    return "reedtrail/runs/" + run.str() + "/seal/";
}

std::string sealKey(const run_id &run, std::uint64_t step, std::uint64_t number)
{
    return sealPrefix(run) + zeroPadded(step) + "/" + zeroPadded(number);
}

std::string encodeSealRecord(const seal_record &record)
{
    nlohmann::json samples = nlohmann::json::array();
    for (const sealed_sample &sample : record.samples) {
        samples.push_back(encodeSample(sample));
    }
    const nlohmann::json value{
        { "number", record.number },
        { "step", record.step },
        { "epoch", record.epoch },
        { "revision", record.revision },
        { "acknowledged", record.acknowledged },
        { "groups", record.groups },
        { "groupSize", record.groupSize },
        { "complete", record.isStepComplete },
        { "samples", std::move(samples) },
    };
    return value.dump();
}

result<seal_record> decodeSealRecord(const run_id &run, std::string_view value)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(value);
        seal_record record;
        record.number = object.at("number").get<std::uint64_t>();
        record.step = object.at("step").get<std::uint64_t>();
        record.epoch = object.at("epoch").get<epoch_number>();
        record.revision = object.at("revision").get<std::uint64_t>();
        record.acknowledged = object.at("acknowledged").get<std::uint64_t>();
        record.groups = object.at("groups").get<std::uint32_t>();
        record.groupSize = object.at("groupSize").get<std::uint32_t>();
        record.isStepComplete = object.at("complete").get<bool>();
        for (const nlohmann::json &fields : object.at("samples")) {
            record.samples.push_back(decodeSample(run, record.step, fields));
        }
        return record;
    } catch (const nlohmann::json::exception &) {
        return fail(error_kind::Corrupt, "seal record of run " + run.str() + " is not readable");
    }
}

} // namespace reedtrail
