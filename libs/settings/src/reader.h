#pragma once

#include <base/base.h>

#include <limits>
#include <map>
#include <set>

#include <toml++/toml.h>

namespace lacewing::settings
{

/** Bounds of a whole number, both included. */
struct Range {
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/** Length of a name, in characters. */
constexpr std::size_t maxNameLength = 100;

/**
 * Reads the values of one TOML document and keeps the first failure.
 *
 * Keys are written "section.key". Each function leaves its target as it is when the key is absent, so that it keeps its
 * default; every key asked for counts as known.
 */
class Reader
{
public:
    Reader(const toml::table &document, std::string_view fileName);

    void text(const std::string &key, std::string &target);
    /** A text of 1 to maxNameLength characters. */
    void name(const std::string &key, std::string &target);
    /** A text of the form "ip:port". */
    void address(const std::string &key, std::string &target);
    void addresses(const std::string &key, std::vector<std::string> &target, std::size_t most);
    void flag(const std::string &key, bool &target);
    void number(const std::string &key, Range range, std::int64_t &target);
    void count(const std::string &key, Range range, std::size_t &target);
    /** A whole number of `unit`s. */
    void duration(const std::string &key, Duration unit, Range range, Duration &target);

    /** One of several fixed texts. */
    template <typename Enum>
    void choice(const std::string &key, const std::map<std::string, Enum> &choices, Enum &target)
    {
        std::string chosen;
        text(key, chosen);
        if (const auto found = choices.find(chosen); found != choices.end()) {
            target = found->second;
        } else if (has(key)) {
            fail(key, ErrorKind::InvalidArgument, "\"" + chosen + "\" is not one of the choices");
        }
    }

    bool has(const std::string &key) const;
    /** Fails with Missing when a key is absent. */
    void require(const std::string &key);
    void fail(const std::string &key, ErrorKind kind, const std::string &reason);
    /** Fails with UnknownKey when the document has a key that was never asked for. */
    void refuseUnknownKeys();

    const std::optional<Error> &error() const noexcept
    {
        return error_;
    }
    const std::vector<std::string> &askedKeys() const noexcept
    {
        return askedKeys_;
    }

private:
    const toml::node *find(const std::string &key) const;
    /** The node of a key when it holds a T; fails when it holds anything else. */
    template <typename T>
    std::optional<T> value(const std::string &key, const char *expected);
    void refuseUnknownKeys(const std::string &section, const toml::table &table);
    std::uint32_t lineOf(const std::string &key) const;
    void failAt(std::uint32_t line, const std::string &key, ErrorKind kind, const std::string &reason);

    const toml::table &document_;
    std::string fileName_;
    std::vector<std::string> askedKeys_;
    std::optional<Error> error_;
};

} // namespace lacewing::settings
