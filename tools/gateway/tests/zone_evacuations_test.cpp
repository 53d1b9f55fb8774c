#include "zone_evacuations.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <sstream>

using namespace lacewing;
using namespace lacewing::gateway;
using userplatform::LogPosition;

namespace
{

const AvailabilityZoneId zone { "a" };

/**
 * Applies steps such as "e1.5" (evacuated, era 1, offset 5), "r1.6" (returned), "s1.9" (snapshot up to there without
 * the zone) and "l2.9.5" (snapshot that lists an evacuation at offset 5).
 */
void apply(ZoneEvacuations &evacuations, const std::string &text)
{
    std::istringstream steps(text);
    for (std::string step; steps >> step;) {
        std::istringstream numbers(step.substr(1));
        std::uint64_t era = 0;
        std::uint64_t offset = 0;
        std::uint64_t listed = 0;
        char dot = 0;
        numbers >> era >> dot >> offset >> dot >> listed;
        const LogPosition position(era, offset);
        const std::string key = userplatform::evacuationKey(zone);
        if (step[0] == 's') {
            evacuations.apply(TopicSnapshot { position, position, {} });
        } else if (step[0] == 'l') {
            evacuations.apply(TopicSnapshot { position, position, { { key, { era, listed }, "{}" } } });
        } else {
            const auto value = step[0] == 'e' ? std::optional<std::string>("{}") : std::nullopt;
            evacuations.apply(TopicExcerpt { { { key, position, value } } });
        }
    }
}

struct MergeCase {
    char steps[40];
    bool isEvacuated;
};

MergeCase mergeCases[] = {
    { "e1.5", true },
    { "e1.5 e1.7", true },
    { "e1.5 r1.6", false },
    { "r1.6 e1.5", false }, // in another order
    { "e1.5 r1.6 e1.7", true },
    { "e1.5 s1.9", false },
    { "e1.5 s1.4", true }, // written after the snapshot
    { "l1.9.5", true },
    { "e1.5 r1.6 l1.9.5", false }, // listed before it was removed
    { "e1.5 s2.4", true }, // the copy lacks it
    { "e1.5 s2.4 s2.9", true },
    { "e1.5 s2.4 r2.5", false },
    { "e1.5 s2.4 e2.5 s2.9", false },
    { "e1.5 s2.4 e1.5", true },
    { "e1.5 r1.6 l2.6.5", true }, // may have been written since
    { "e1.5 r1.6 s2.4", false },
};

} // namespace

ParameterizedTestParameters(zoneEvacuations, latestRecordCounts)
{
    return cr_make_param_array(MergeCase, mergeCases, std::size(mergeCases));
}

ParameterizedTest(MergeCase *test, zoneEvacuations, latestRecordCounts)
{
    ZoneEvacuations evacuations;
    apply(evacuations, test->steps);
    cr_assert_eq(evacuations.isEvacuated(zone), test->isEvacuated, "%s", test->steps);
    cr_assert_eq(evacuations.count(), test->isEvacuated ? 1U : 0U);
    ZoneEvacuations other;
    other.apply(evacuations.replica().updateSince({}));
    cr_assert_eq(other.isEvacuated(zone), test->isEvacuated, "%s: told to another vm", test->steps);
    cr_assert_eq(other.digest(), evacuations.digest(), "%s", test->steps);
}
