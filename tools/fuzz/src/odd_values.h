#pragma once

#include <base/base.h>
#include <wire/wire.h>

#include <array>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

namespace lacewing::fuzz
{

/** Draws values that a careless parser or serializer gets wrong, from a seed. */
class OddValues
{
public:
    /** @param names texts that mean something to the receiver, and are drawn now and then */
    OddValues(std::uint64_t seed, std::vector<std::string> names);

    Random &random() noexcept
    {
        return random_;
    }
    /** Returns any bytes: empty, huge, out of every character set, or a known name. */
    std::string text();
    /** Returns the text of a number, mostly one that is out of range. */
    std::string numberText();
    std::uint64_t integer();
    double real();
    /** Returns the text with some bytes changed, removed, repeated or inserted. */
    std::string damaged(std::string text);
    /** Returns a JSON text with some of its values replaced, also by deeply nested ones. @param minDepth of these */
    std::string damagedJson(const std::string &text, std::size_t minDepth);

    /** Sets some fields of a message to odd values. */
    template <typename T>
    void change(T &value);

private:
    template <typename... Fields>
    void changeFields(const std::tuple<Fields &...> &fields)
    {
        std::apply([this](auto &...field) { (changeSometimes(field), ...); }, fields);
    }
    template <typename T>
    void changeSometimes(T &value)
    {
        constexpr double changedShare = 0.6;
        if (random_.chance(changedShare)) {
            change(value);
        }
    }
    template <typename T>
    void assign(T &value);
    template <typename Tag>
    void assign(Name<Tag> &value)
    {
        value = Name<Tag>(text());
    }
    template <typename Tag, typename Rep>
    void assign(Number<Tag, Rep> &value)
    {
        value = Number<Tag, Rep>(static_cast<Rep>(integer()));
    }
    template <typename T>
    void assign(std::vector<T> &values)
    {
        constexpr std::uint64_t mostItems = 4;
        values.resize(random_.below(mostItems));
        for (auto &value : values) {
            change(value);
        }
    }
    template <typename T, std::size_t size>
    void assign(std::array<T, size> &values)
    {
        for (auto &value : values) {
            change(value);
        }
    }
    template <typename T>
    void assign(std::optional<T> &value)
    {
        change(value.emplace());
    }

    Random random_;
    std::vector<std::string> names_;
};

template <typename T>
void OddValues::change(T &value)
{
    if constexpr (wire::detail::HasMembers<T>) {
        changeFields(value.members());
    } else {
        assign(value);
    }
}

template <typename T>
void OddValues::assign(T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        value = random_.chance(0.5);
    } else if constexpr (std::is_same_v<T, std::string>) {
        value = text();
    } else if constexpr (std::is_same_v<T, Duration>) {
        value = Duration(static_cast<std::int64_t>(integer()));
    } else if constexpr (std::is_floating_point_v<T>) {
        value = real();
    } else if constexpr (std::is_enum_v<T>) {
        constexpr std::uint64_t mostEnumerators = 8;
        value = static_cast<T>(random_.below(mostEnumerators));
    } else {
        value = static_cast<T>(integer());
    }
}

} // namespace lacewing::fuzz
