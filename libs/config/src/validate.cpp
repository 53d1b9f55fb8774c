#include "references.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cctype>
#include <set>

namespace lacewing::config
{
namespace
{

constexpr Duration minCompletion = 10ms;
constexpr Duration maxCompletion = 10min;
constexpr double maxShare = 0.9999;

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-';
}

Result<void> checkName(const std::string &what, const std::string &name)
{
    if (name.empty() || name.size() > maxNameLength) {
        return failure(ErrorKind::OutOfRange,
                       what + " must have 1 to " + std::to_string(maxNameLength) + " characters");
    }
    if (!std::ranges::all_of(name, isNameCharacter)) {
        return failure(ErrorKind::InvalidArgument, what + " may contain letters, digits, '.', '_' and '-' only");
    }
    return success();
}

Result<void> checkRange(bool inRange, const std::string &what)
{
    if (!inRange) {
        return failure(ErrorKind::OutOfRange, what);
    }
    return success();
}

Result<void> checkKind(StageKind kind)
{
    return checkRange(stageKindFromText(toText(kind)) == kind, "kind is not one that this release knows");
}

Result<void> checkOptionalTime(const std::string &what, const std::optional<Duration> &time, Duration most)
{
    return checkRange(!time || (*time > 0ms && *time <= most), what + " must be over 0 and at most completion");
}

Result<void> check(const ClassSpec &spec)
{
    BOOST_OUTCOME_TRYV(checkName("the class's name", spec.id.text()));
    BOOST_OUTCOME_TRYV(checkName("pipeline", spec.pipeline.text()));
    BOOST_OUTCOME_TRYV(checkRange(spec.completion >= minCompletion && spec.completion <= maxCompletion,
                                  "completion must be 10ms to 10min"));
    BOOST_OUTCOME_TRYV(checkRange(spec.share > 0 && spec.share <= maxShare, "share must be over 0 and at most 0.9999"));
    BOOST_OUTCOME_TRYV(checkRange(spec.cost.value() > 0, "cost must be over 0"));
    BOOST_OUTCOME_TRYV(checkOptionalTime("first_token", spec.firstToken, spec.completion));
    return checkOptionalTime("token_gap", spec.tokenGap, spec.completion);
}

Result<void> check(const StageSpec &stage)
{
    BOOST_OUTCOME_TRYV(checkName("the stage's name", stage.name));
    BOOST_OUTCOME_TRYV(checkName("pool", stage.pool.text()));
    BOOST_OUTCOME_TRYV(checkKind(stage.kind));
    if (stage.kind == StageKind::Service) {
        return checkRange(stage.model.isEmpty(), "a service stage runs no model");
    }
    if (!stage.model.isEmpty()) {
        return checkName("model", stage.model.text());
    }
    return success();
}

Result<void> check(const PipelineSpec &spec)
{
    BOOST_OUTCOME_TRYV(checkName("the pipeline's name", spec.id.text()));
    BOOST_OUTCOME_TRYV(
        checkRange(!spec.stages.empty() && spec.stages.size() <= maxStages, "stage: 1 to 16 are needed"));
    std::set<std::string> names;
    for (const StageSpec &stage : spec.stages) {
        BOOST_OUTCOME_TRYV(check(stage));
        if (!names.insert(stage.name).second) {
            return failure(ErrorKind::InvalidArgument, "stage " + stage.name + " stands twice");
        }
    }
    return success();
}

Result<void> check(const WorkspaceSpec &spec)
{
    constexpr std::size_t hashDigits = 16;
    const std::string &hash = spec.callerTokenHash;
    const auto isDigit = [](unsigned char c) { return std::isxdigit(c) != 0; };
    const bool isHash = hash.size() <= hashDigits && std::ranges::all_of(hash, isDigit);
    BOOST_OUTCOME_TRYV(checkName("the workspace's name", spec.id.text()));
    return checkRange(isHash, "caller_token_hash must be at most 16 hexadecimal digits");
}

Result<void> check(const PoolSpec &spec)
{
    BOOST_OUTCOME_TRYV(checkName("the pool's name", spec.id.text()));
    BOOST_OUTCOME_TRYV(checkKind(spec.kind));
    return checkRange(spec.costPerSecond.value() >= 0, "cost_per_second must be 0 or more");
}

Result<void> check(const ModelSpec &spec)
{
    return checkName("the model's name", spec.id.text());
}

} // namespace

Result<void> validate(const Item &item)
{
    return std::visit([](const auto &spec) -> Result<void> { return check(spec); }, item);
}

Result<void> validate(const FleetConfig &configuration)
{
    for (const auto &[id, spec] : configuration.pipelines) {
        BOOST_OUTCOME_TRYV(checkReferences(configuration, spec));
    }
    for (const auto &[id, spec] : configuration.classes) {
        BOOST_OUTCOME_TRYV(checkReferences(configuration, spec));
    }
    return success();
}

} // namespace lacewing::config
