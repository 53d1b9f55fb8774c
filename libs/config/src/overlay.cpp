#include <config/config.h>

#include <algorithm>

namespace lacewing::config
{
namespace
{

void set(FleetConfig &configuration, const Item &item)
{
    std::visit(Overloaded {
                   [&](const ClassSpec &spec) { configuration.classes[spec.id] = spec; },
                   [&](const PipelineSpec &spec) { configuration.pipelines[spec.id] = spec; },
                   [&](const WorkspaceSpec &spec) { configuration.workspaces[spec.id] = spec; },
                   [&](const PoolSpec &spec) { configuration.pools[spec.id] = spec; },
                   [&](const ModelSpec &spec) { configuration.models[spec.id] = spec; },
               },
               item);
}

void remove(FleetConfig &configuration, const ItemKey &key)
{
    const std::string &text = key.text();
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos) {
        return;
    }
    const std::string kind = text.substr(0, slash);
    const std::string id = text.substr(slash + 1);
    if (kind == "class") {
        configuration.classes.erase(ClassId(id));
    } else if (kind == "pipeline") {
        configuration.pipelines.erase(PipelineId(id));
    } else if (kind == "workspace") {
        configuration.workspaces.erase(WorkspaceId(id));
    } else if (kind == "pool") {
        configuration.pools.erase(PoolId(id));
    } else if (kind == "model") {
        configuration.models.erase(ModelId(id));
    }
}

} // namespace

void overlay(FleetConfig &configuration, const VersionedItem &item)
{
    if (item.item) {
        set(configuration, *item.item);
    } else {
        remove(configuration, item.key);
    }
    configuration.version = std::max(configuration.version, item.version);
}

} // namespace lacewing::config
