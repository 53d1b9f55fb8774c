#pragma once

#include <config/config.h>

#include <set>
#include <toml++/toml.h>

namespace lacewing::config
{

/**
 * Reads the keys of one TOML table into fields and reports the first fault with its line and key.
 *
 * Keys that no call asked for are unknown; finish() reports them.
 */
class TomlFields
{
public:
    /** @param path the table's own key, such as "class.summary" */
    TomlFields(const toml::table &table, std::string path);

    void read(std::string_view key, std::string &value);
    void read(std::string_view key, bool &value);
    void read(std::string_view key, double &value);
    void read(std::string_view key, Bytes &value);
    void read(std::string_view key, Cost &value); ///< a number of currency units
    void read(std::string_view key, Duration &value); ///< text such as "800ms"
    void read(std::string_view key, StageKind &value);

    template <typename Tag>
    void read(std::string_view key, Name<Tag> &value)
    {
        std::string text = value.text();
        read(key, text);
        value = Name<Tag>(std::move(text));
    }
    template <typename T>
    void read(std::string_view key, std::optional<T> &value)
    {
        if (table_.contains(key)) {
            read(key, value.emplace());
        }
    }
    template <typename T>
    void require(std::string_view key, T &value)
    {
        if (!table_.contains(key)) {
            fail(ErrorKind::Missing, key, table_, "is required");
        }
        read(key, value);
    }
    /** The tables of an array under a key; empty after a fault. */
    std::vector<const toml::table *> requireTables(std::string_view key);

    /** The first fault, if any; unknown keys included. */
    Result<void> finish();

private:
    const toml::node *find(std::string_view key);
    void fail(ErrorKind kind, std::string_view key, const toml::node &place, std::string_view what);

    const toml::table &table_;
    std::string path_;
    std::set<std::string, std::less<>> known_;
    std::optional<Error> error_;
};

/** An Error that names the line of a node. */
Error errorAt(ErrorKind kind, const toml::node &place, const std::string &what);

} // namespace lacewing::config
