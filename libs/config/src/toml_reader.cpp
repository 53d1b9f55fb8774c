#include "toml_fields.h"

#include <boost/outcome/try.hpp>

#include <array>

namespace lacewing::config
{
namespace
{

/** Reads the keys of a spec; its name comes from the table's own key. */
Result<void> readSpec(const toml::table &table, const std::string &path, ClassSpec &spec)
{
    TomlFields fields(table, path);
    fields.require("pipeline", spec.pipeline);
    fields.require("completion", spec.completion);
    fields.read("share", spec.share);
    fields.require("cost", spec.cost);
    fields.read("first_token", spec.firstToken);
    fields.read("token_gap", spec.tokenGap);
    return fields.finish();
}

Result<void> readSpec(const toml::table &table, const std::string &path, StageSpec &stage)
{
    TomlFields fields(table, path);
    fields.require("name", stage.name);
    fields.require("kind", stage.kind);
    fields.require("pool", stage.pool);
    fields.read("model", stage.model);
    fields.read("repeatable", stage.repeatable);
    return fields.finish();
}

Result<void> readSpec(const toml::table &table, const std::string &path, PipelineSpec &spec)
{
    TomlFields fields(table, path);
    for (const toml::table *stageTable : fields.requireTables("stage")) {
        BOOST_OUTCOME_TRYV(readSpec(*stageTable, path + ".stage", spec.stages.emplace_back()));
    }
    return fields.finish();
}

Result<void> readSpec(const toml::table &table, const std::string &path, WorkspaceSpec &spec)
{
    TomlFields fields(table, path);
    fields.read("caller_token_hash", spec.callerTokenHash);
    return fields.finish();
}

Result<void> readSpec(const toml::table &table, const std::string &path, PoolSpec &spec)
{
    TomlFields fields(table, path);
    fields.require("kind", spec.kind);
    fields.read("honours_fencing", spec.honoursFencing);
    fields.read("resumable", spec.resumable);
    fields.read("cost_per_second", spec.costPerSecond);
    return fields.finish();
}

Result<void> readSpec(const toml::table &table, const std::string &path, ModelSpec &spec)
{
    TomlFields fields(table, path);
    fields.require("weights_bytes", spec.weights);
    return fields.finish();
}

using Items = std::vector<Item>;

/** Reads one named table into an item, checks its values and adds it. */
template <typename Spec>
Result<void> readItem(const std::string &kind, const std::string &name, const toml::node &node, Items &items)
{
    const std::string path = kind + "." + name;
    if (!node.is_table()) {
        return errorAt(ErrorKind::WrongType, node, path + " must be a table");
    }
    Spec spec;
    spec.id = decltype(spec.id)(name);
    BOOST_OUTCOME_TRYV(readSpec(*node.as_table(), path, spec));
    if (const auto checked = validate(Item(spec)); !checked) {
        return errorAt(checked.error().kind, node, path + ": " + checked.error().detail);
    }
    items.emplace_back(std::move(spec));
    return success();
}

/** The kinds in an order in which each names only those before it. */
struct Section {
    std::string_view key;
    Result<void> (*read)(const std::string &kind, const std::string &name, const toml::node &node, Items &items);
};

constexpr std::array<Section, 5> sections { {
    { "pool", readItem<PoolSpec> },
    { "model", readItem<ModelSpec> },
    { "pipeline", readItem<PipelineSpec> },
    { "class", readItem<ClassSpec> },
    { "workspace", readItem<WorkspaceSpec> },
} };

Result<void> checkTopLevel(const toml::table &document)
{
    for (const auto &[key, node] : document) {
        const auto isKnown = [&key = key](const Section &section) { return section.key == key.str(); };
        const std::string name(key.str());
        if (std::none_of(sections.begin(), sections.end(), isKnown)) {
            return errorAt(ErrorKind::UnknownKey, node, name + " is not a known key");
        }
        if (!node.is_table()) {
            return errorAt(ErrorKind::WrongType, node, name + " must be a table");
        }
    }
    return success();
}

Result<void> readSection(const Section &section, const toml::table &document, Items &items)
{
    const toml::table *entries = document[section.key].as_table();
    if (entries == nullptr) {
        return success();
    }
    for (const auto &[name, node] : *entries) {
        BOOST_OUTCOME_TRYV(section.read(std::string(section.key), std::string(name.str()), node, items));
    }
    if (items.size() > maxItems) {
        return errorAt(ErrorKind::TooMany, *entries, "more than " + std::to_string(maxItems) + " items");
    }
    return success();
}

Result<Items> readDocument(const toml::table &document)
{
    BOOST_OUTCOME_TRYV(checkTopLevel(document));
    Items items;
    for (const Section &section : sections) {
        BOOST_OUTCOME_TRYV(readSection(section, document, items));
    }
    return items;
}

} // namespace

Result<std::vector<Item>> parseItems(std::string_view toml)
{
    try {
        return readDocument(toml::parse(toml));
    } catch (const toml::parse_error &error) {
        const std::string line = "line " + std::to_string(error.source().begin.line);
        return failure(ErrorKind::Malformed, line + ": " + std::string(error.description()));
    }
}

} // namespace lacewing::config
