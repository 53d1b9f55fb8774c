#include "toml_fields.h"

#include "duration_text.h"

#include <cmath>

namespace lacewing::config
{
namespace
{

constexpr double unitsPerCurrency = 1'000'000;
constexpr double maxCost = 1'000'000'000; ///< currency units

} // namespace

Error errorAt(ErrorKind kind, const toml::node &place, const std::string &what)
{
    return { kind, "line " + std::to_string(place.source().begin.line) + ": " + what };
}

TomlFields::TomlFields(const toml::table &table, std::string path)
    : table_(table)
    , path_(std::move(path))
{
}

void TomlFields::fail(ErrorKind kind, std::string_view key, const toml::node &place, std::string_view what)
{
    if (!error_) {
        error_ = errorAt(kind, place, path_ + "." + std::string(key) + " " + std::string(what));
    }
}

const toml::node *TomlFields::find(std::string_view key)
{
    known_.emplace(key);
    return table_.get(key);
}

void TomlFields::read(std::string_view key, std::string &value)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return;
    }
    if (const auto text = node->value_exact<std::string>()) {
        value = *text;
    } else {
        fail(ErrorKind::WrongType, key, *node, "must be a text");
    }
}

void TomlFields::read(std::string_view key, bool &value)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return;
    }
    if (const auto flag = node->value_exact<bool>()) {
        value = *flag;
    } else {
        fail(ErrorKind::WrongType, key, *node, "must be true or false");
    }
}

void TomlFields::read(std::string_view key, double &value)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_number()) {
        fail(ErrorKind::WrongType, key, *node, "must be a number");
        return;
    }
    value = node->value<double>().value_or(value);
    if (!std::isfinite(value)) {
        fail(ErrorKind::OutOfRange, key, *node, "must be finite");
    }
}

void TomlFields::read(std::string_view key, Bytes &value)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number) {
        fail(ErrorKind::WrongType, key, *node, "must be a whole number of bytes");
    } else if (*number < 0) {
        fail(ErrorKind::OutOfRange, key, *node, "must be 0 or more");
    } else {
        value = Bytes(std::uint64_t(*number));
    }
}

void TomlFields::read(std::string_view key, Cost &value)
{
    double amount = 0;
    read(key, amount);
    const toml::node *node = table_.get(key);
    if (node == nullptr || error_) {
        return;
    }
    if (amount < 0 || amount > maxCost) {
        fail(ErrorKind::OutOfRange, key, *node, "must be 0 to 1000000000");
        return;
    }
    value = Cost(std::llround(amount * unitsPerCurrency));
}

void TomlFields::read(std::string_view key, Duration &value)
{
    std::string text;
    read(key, text);
    const toml::node *node = table_.get(key);
    if (node == nullptr || error_) {
        return;
    }
    if (const auto duration = durationFromText(text)) {
        value = *duration;
    } else {
        fail(ErrorKind::InvalidArgument, key, *node, "must be a whole number with us, ms, s or min, such as \"800ms\"");
    }
}

void TomlFields::read(std::string_view key, StageKind &value)
{
    std::string text;
    read(key, text);
    const toml::node *node = table_.get(key);
    if (node == nullptr || error_) {
        return;
    }
    if (const auto kind = stageKindFromText(text)) {
        value = *kind;
    } else {
        fail(ErrorKind::InvalidArgument, key, *node, "must be encode, retrieve, rerank, generate or service");
    }
}

std::vector<const toml::table *> TomlFields::requireTables(std::string_view key)
{
    const toml::node *node = find(key);
    std::vector<const toml::table *> tables;
    if (node == nullptr) {
        fail(ErrorKind::Missing, key, table_, "is required");
        return tables;
    }
    if (!node->is_array_of_tables()) {
        fail(ErrorKind::WrongType, key, *node, "must be a list of tables");
        return tables;
    }
    for (const toml::node &entry : *node->as_array()) {
        tables.push_back(entry.as_table());
    }
    return tables;
}

Result<void> TomlFields::finish()
{
    for (const auto &[key, node] : table_) {
        if (!known_.contains(key.str())) {
            fail(ErrorKind::UnknownKey, key.str(), node, "is not a known key");
        }
    }
    if (error_) {
        return *error_;
    }
    return success();
}

} // namespace lacewing::config
