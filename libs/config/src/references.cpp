#include "references.h"

#include <boost/outcome/try.hpp>

namespace lacewing::config
{
namespace
{

Error dangling(const std::string &from, const std::string &to)
{
    return { ErrorKind::NotFound, from + " names " + to + ", which doesn't exist" };
}

Result<void> checkStage(const FleetConfig &configuration, const PipelineSpec &pipeline, const StageSpec &stage)
{
    const std::string from = "stage " + pipeline.id.text() + "." + stage.name;
    const auto pool = configuration.pools.find(stage.pool);
    if (pool == configuration.pools.end()) {
        return dangling(from, "pool " + stage.pool.text());
    }
    if (pool->second.kind != stage.kind) {
        return failure(ErrorKind::InvalidArgument, from + " is of another kind than pool " + stage.pool.text());
    }
    if (!stage.model.isEmpty() && !configuration.models.contains(stage.model)) {
        return dangling(from, "model " + stage.model.text());
    }
    return success();
}

/** Checks the stages that use a pool against a new form of it. */
Result<void> checkUsers(const FleetConfig &configuration, const PoolSpec &pool)
{
    for (const auto &[id, pipeline] : configuration.pipelines) {
        for (const StageSpec &stage : pipeline.stages) {
            if (stage.pool == pool.id && stage.kind != pool.kind) {
                return failure(ErrorKind::InvalidArgument, "pipeline " + id.text() + " uses the pool as another kind");
            }
        }
    }
    return success();
}

} // namespace

Result<void> checkReferences(const FleetConfig &configuration, const ClassSpec &spec)
{
    if (!configuration.pipelines.contains(spec.pipeline)) {
        return dangling("class " + spec.id.text(), "pipeline " + spec.pipeline.text());
    }
    return success();
}

Result<void> checkReferences(const FleetConfig &configuration, const PipelineSpec &spec)
{
    for (const StageSpec &stage : spec.stages) {
        BOOST_OUTCOME_TRYV(checkStage(configuration, spec, stage));
    }
    return success();
}

Result<void> checkPut(const FleetConfig &configuration, const Item &item)
{
    return std::visit(
        Overloaded {
            [&](const ClassSpec &spec) -> Result<void> { return checkReferences(configuration, spec); },
            [&](const PipelineSpec &spec) -> Result<void> { return checkReferences(configuration, spec); },
            [&](const PoolSpec &spec) -> Result<void> { return checkUsers(configuration, spec); },
            [](const WorkspaceSpec &) -> Result<void> { return success(); },
            [](const ModelSpec &) -> Result<void> { return success(); },
        },
        item);
}

Result<void> checkRemoval(const FleetConfig &configuration, const ItemKey &key)
{
    for (const auto &[id, spec] : configuration.classes) {
        if (key.text() == "pipeline/" + spec.pipeline.text()) {
            return failure(ErrorKind::InvalidArgument, "class " + id.text() + " still names it");
        }
    }
    for (const auto &[id, pipeline] : configuration.pipelines) {
        for (const StageSpec &stage : pipeline.stages) {
            const bool named = key.text() == "pool/" + stage.pool.text() || key.text() == "model/" + stage.model.text();
            if (named) {
                return failure(ErrorKind::InvalidArgument, "pipeline " + id.text() + " still names it");
            }
        }
    }
    return success();
}

} // namespace lacewing::config
