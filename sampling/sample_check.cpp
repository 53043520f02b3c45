// Versions that decrease within one answer mean that the report of the engine is late or that two streams were mixed up, so such a draft is rejected as
// corrupt. So is a draft with version 0, which stands for an unknown version.

#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail {

weight_version oldestVersion(std::span<const version_range> versions)
{
    weight_version oldest = versions.empty() ? 0 : versions.front().version;
    for (const version_range &range : versions) {
        oldest = std::min(oldest, range.version);
    }
    return oldest;
}

std::uint64_t stepsBehind(std::uint64_t step, weight_version oldest)
{
    return step > oldest ? step - oldest : 0;
}

bool areVersionsConsistent(std::span<const version_range> versions, std::uint64_t tokens)
{
    std::uint64_t nextToken = 0;
    weight_version newestVersion = 1;
    for (const version_range &range : versions) {
        if (range.from != nextToken || range.to <= range.from || range.version < newestVersion) {
            return false;
        }
        nextToken = range.to;
        newestVersion = range.version;
    }
    return nextToken == tokens && tokens > 0;
}

error_kind validateDraft(const draft_result &draft, std::uint64_t stalenessBound)
{
    if (draft.error != answerFor(error_kind::None).name) {
        return errorKindNamed(draft.error);
    }
    if (!areVersionsConsistent(draft.versions, draft.tokens)) {
        return error_kind::Corrupt;
    }
    if (stepsBehind(draft.slot.step, oldestVersion(draft.versions)) > stalenessBound) {
        return error_kind::Stale;
    }
    return error_kind::None;
}

} // namespace reedtrail
