// A version that falls within one answer means that the engine's report is late or that two streams were mixed up, so it counts as a doubt. So does version 0,
// which stands for "none known".

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

bool areVersionsWhole(std::span<const version_range> versions, std::uint64_t tokens)
{
    std::uint64_t next = 0;
    weight_version newest = 1;
    for (const version_range &range : versions) {
        if (range.from != next || range.to <= range.from || range.version < newest) {
            return false;
        }
        next = range.to;
        newest = range.version;
    }
    return next == tokens && tokens > 0;
}

error_kind judgeDraft(const draft_result &draft, std::uint64_t stalenessBound)
{
    if (draft.error != answerFor(error_kind::None).name) {
        return errorKindNamed(draft.error);
    }
    if (!areVersionsWhole(draft.versions, draft.tokens)) {
        return error_kind::Corrupt;
    }
    if (stepsBehind(draft.slot.step, oldestVersion(draft.versions)) > stalenessBound) {
        return error_kind::Stale;
    }
    return error_kind::None;
}

} // namespace reedtrail
