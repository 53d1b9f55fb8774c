#include "duration_text.h"

#include <config/config.h>

#include <sstream>
#include <toml++/toml.h>

namespace lacewing::config
{
namespace
{

constexpr double unitsPerCurrency = 1'000'000;

double toCurrency(Cost cost)
{
    return double(cost.value()) / unitsPerCurrency;
}

toml::table write(const ClassSpec &spec)
{
    toml::table table;
    table.insert("pipeline", spec.pipeline.text());
    table.insert("completion", toText(spec.completion));
    table.insert("share", spec.share);
    table.insert("cost", toCurrency(spec.cost));
    if (spec.firstToken) {
        table.insert("first_token", toText(*spec.firstToken));
    }
    if (spec.tokenGap) {
        table.insert("token_gap", toText(*spec.tokenGap));
    }
    return table;
}

toml::table write(const StageSpec &stage)
{
    toml::table table;
    table.insert("name", stage.name);
    table.insert("kind", toText(stage.kind));
    table.insert("pool", stage.pool.text());
    if (!stage.model.isEmpty()) {
        table.insert("model", stage.model.text());
    }
    table.insert("repeatable", stage.repeatable);
    return table;
}

toml::table write(const PipelineSpec &spec)
{
    toml::array stages;
    for (const StageSpec &stage : spec.stages) {
        stages.push_back(write(stage));
    }
    toml::table table;
    table.insert("stage", std::move(stages));
    return table;
}

toml::table write(const WorkspaceSpec &spec)
{
    toml::table table;
    if (!spec.callerTokenHash.empty()) {
        table.insert("caller_token_hash", spec.callerTokenHash);
    }
    return table;
}

toml::table write(const PoolSpec &spec)
{
    toml::table table;
    table.insert("kind", toText(spec.kind));
    table.insert("honours_fencing", spec.honoursFencing);
    table.insert("resumable", spec.resumable);
    table.insert("cost_per_second", toCurrency(spec.costPerSecond));
    return table;
}

toml::table write(const ModelSpec &spec)
{
    toml::table table;
    table.insert("weights_bytes", std::int64_t(spec.weights.value()));
    return table;
}

/** The table for all items of a kind, made when it isn't there yet. */
toml::table &section(toml::table &document, const std::string &kind)
{
    document.insert(kind, toml::table());
    return *document[kind].as_table();
}

} // namespace

std::string toToml(const std::vector<Item> &items)
{
    toml::table document;
    for (const Item &item : items) {
        const std::string key = keyOf(item).text();
        const std::size_t slash = key.find('/');
        toml::table &entries = section(document, key.substr(0, slash));
        std::visit([&](const auto &spec) { entries.insert_or_assign(key.substr(slash + 1), write(spec)); }, item);
    }
    std::ostringstream text;
    text << document << '\n';
    return text.str();
}

} // namespace lacewing::config
