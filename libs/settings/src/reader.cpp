#include "reader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace lacewing::settings
{

namespace
{

/** Whether a text is "ip:port" with a numeric port; IPv6 addresses stand in brackets. */
bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    auto ip = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t number = 0;
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (status != std::errc() || end != port.data() + port.size()) {
        return false;
    }
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(std::string(ip), error);
    return !error && parsed.is_v6() == isBracketed;
}

} // namespace

Reader::Reader(const toml::table &document, std::string_view fileName)
    : document_(document)
    , fileName_(fileName)
{
}

const toml::node *Reader::find(const std::string &key) const
{
    return document_.at_path(key).node();
}

bool Reader::has(const std::string &key) const
{
    return find(key) != nullptr;
}

template <typename T>
std::optional<T> Reader::value(const std::string &key, const char *expected)
{
    askedKeys_.push_back(key);
    const auto *node = find(key);
    if (!node) {
        return std::nullopt;
    }
    auto exact = node->value_exact<T>();
    if (!exact) {
        fail(key, ErrorKind::WrongType, std::string(expected) + " expected");
    }
    return exact;
}

void Reader::text(const std::string &key, std::string &target)
{
    if (auto found = value<std::string>(key, "text")) {
        target = std::move(*found);
    }
}

void Reader::name(const std::string &key, std::string &target)
{
    text(key, target);
    if (has(key) && (target.empty() || target.size() > maxNameLength)) {
        fail(key, ErrorKind::OutOfRange, "1 to " + std::to_string(maxNameLength) + " characters expected");
    }
}

void Reader::address(const std::string &key, std::string &target)
{
    text(key, target);
    if (has(key) && !isAddress(target)) {
        fail(key, ErrorKind::InvalidArgument, "\"" + target + "\" is not of the form ip:port");
    }
}

void Reader::addresses(const std::string &key, std::vector<std::string> &target, std::size_t most)
{
    askedKeys_.push_back(key);
    const auto *node = find(key);
    if (!node) {
        return;
    }
    const auto *list = node->as_array();
    if (!list) {
        fail(key, ErrorKind::WrongType, "list of texts expected");
        return;
    }
    if (list->size() > most) {
        fail(key, ErrorKind::OutOfRange, "at most " + std::to_string(most) + " entries expected");
        return;
    }
    for (const auto &entry : *list) {
        const auto address = entry.value_exact<std::string>();
        if (!address) {
            fail(key, ErrorKind::WrongType, "list of texts expected");
        } else if (!isAddress(*address)) {
            fail(key, ErrorKind::InvalidArgument, "\"" + *address + "\" is not of the form ip:port");
        } else {
            target.push_back(*address);
        }
    }
}

void Reader::flag(const std::string &key, bool &target)
{
    if (const auto found = value<bool>(key, "true or false")) {
        target = *found;
    }
}

void Reader::number(const std::string &key, Range range, std::int64_t &target)
{
    const auto found = value<std::int64_t>(key, "whole number");
    if (!found) {
        return;
    }
    if (*found < range.least || *found > range.most) {
        fail(key,
             ErrorKind::OutOfRange,
             std::to_string(*found) + " is not within " + std::to_string(range.least) + " to "
                 + std::to_string(range.most));
        return;
    }
    target = *found;
}

void Reader::count(const std::string &key, Range range, std::size_t &target)
{
    auto wide = static_cast<std::int64_t>(target);
    number(key, range, wide);
    target = static_cast<std::size_t>(wide);
}

void Reader::duration(const std::string &key, Duration unit, Range range, Duration &target)
{
    std::int64_t units = target / unit;
    number(key, range, units);
    target = units * unit;
}

void Reader::require(const std::string &key)
{
    if (!has(key)) {
        fail(key, ErrorKind::Missing, "required");
    }
}

void Reader::fail(const std::string &key, ErrorKind kind, const std::string &reason)
{
    failAt(lineOf(key), key, kind, reason);
}

void Reader::failAt(std::uint32_t line, const std::string &key, ErrorKind kind, const std::string &reason)
{
    if (!error_) {
        std::ostringstream detail;
        detail << fileName_ << ':' << line << ": " << key << ": " << reason;
        error_ = Error { kind, detail.str() };
    }
}

std::uint32_t Reader::lineOf(const std::string &key) const
{
    if (const auto *node = find(key)) {
        return node->source().begin.line;
    }
    // An absent key is reported at its section, or at the start of the file when that is absent too.
    const auto *section = find(key.substr(0, key.find('.')));
    return section ? section->source().begin.line : 1;
}

void Reader::refuseUnknownKeys()
{
    for (const auto &[section, node] : document_) {
        const std::string name(section.str());
        const bool isKnown = std::any_of(askedKeys_.begin(), askedKeys_.end(), [&](const std::string &key) {
            return key.substr(0, key.find('.')) == name;
        });
        const auto line = node.source().begin.line;
        if (!isKnown) {
            failAt(line, name, ErrorKind::UnknownKey, "no such section");
        } else if (const auto *table = node.as_table()) {
            refuseUnknownKeys(name, *table);
        } else {
            failAt(line, name, ErrorKind::WrongType, "section expected");
        }
    }
}

void Reader::refuseUnknownKeys(const std::string &section, const toml::table &table)
{
    for (const auto &[key, node] : table) {
        const std::string full = section + "." + std::string(key.str());
        if (std::find(askedKeys_.begin(), askedKeys_.end(), full) == askedKeys_.end()) {
            failAt(node.source().begin.line, full, ErrorKind::UnknownKey, "no such key");
        }
    }
}

} // namespace lacewing::settings
