#pragma once

#include <base/base.h>

#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/**
 * The codec of the messages between the system's own processes and of its records on the log, in MessagePack.
 *
 * encode() and decode() work on any struct with members(), a function that ties its fields in a fixed order. A struct
 * is written as an array of its fields, so a newer version may append fields: an older reader skips them, and a newer
 * reader keeps the defaults of fields that an older writer left out. Input is bounded; whatever the bytes are, decode()
 * returns a value or an Error.
 */
namespace lacewing::wire
{

/** Bounds on one encoded value. */
struct Limits {
    std::size_t bytes = std::size_t(16) << 20U; ///< length of the input
    std::size_t depth = 32; ///< nesting of arrays and maps
    std::size_t elements = 262'144; ///< scalars, arrays and maps in total
};

/** Writes MessagePack items one after the other. */
class Encoder
{
public:
    Encoder();
    ~Encoder();
    Encoder(const Encoder &) = delete;
    Encoder &operator=(const Encoder &) = delete;

    void writeNil();
    void writeBool(bool value);
    void writeUnsigned(std::uint64_t value);
    void writeSigned(std::int64_t value);
    /** Writes a value without a fraction as an integer; the sign of zero is lost. */
    void writeDouble(double value);
    /** @param bytes under 4 GiB */
    void writeString(std::string_view bytes);
    /** Starts an array; exactly `count` items must follow. */
    void beginArray(std::size_t count);
    /** Starts a map; exactly `count` pairs of items must follow. */
    void beginMap(std::size_t count);

    /** All bytes written so far; the encoder is empty afterwards. */
    std::string take();

private:
    class State;
    std::unique_ptr<State> state_;
};

/**
 * Reads MessagePack items one after the other.
 *
 * The first failure is kept: reads after it return zeros and empty values, and finish() tells the Error.
 */
class Decoder
{
public:
    /** Checks the whole input against the limits. @param bytes must outlive the decoder */
    Decoder(std::string_view bytes, const Limits &limits);
    ~Decoder();
    Decoder(const Decoder &) = delete;
    Decoder &operator=(const Decoder &) = delete;

    /** Consumes a nil when that is the next item. */
    bool consumeNil();
    bool readBool();
    std::uint64_t readUnsigned();
    std::int64_t readSigned();
    /** Accepts integers too. */
    double readDouble();
    /** The bytes of a string, within the decoder's input. */
    std::string_view readString();
    /** Reads the head of an array. @return number of items that follow */
    std::size_t beginArray();
    /** Reads the head of a map. @return number of pairs that follow */
    std::size_t beginMap();
    /** Passes over the next item with all its contents. */
    void skip();

    bool hasFailed() const noexcept;
    /** Records a failure of kind Malformed, unless there already is one. */
    void fail(std::string detail);
    /** The first failure; Malformed too when input is left over. */
    Result<void> finish();

private:
    class State;
    std::unique_ptr<State> state_;
};

/** How values of type T are written and read; specialise it for a type that is neither listed below nor has members().
 */
template <typename T>
struct Codec;

/** Encodes a value. */
template <typename T>
std::string encode(const T &value)
{
    Encoder encoder;
    Codec<T>::write(encoder, value);
    return encoder.take();
}

/**
 * Decodes a value.
 *
 * Errors: TooLarge when the input exceeds a limit, Malformed when the bytes are not an encoded T.
 */
template <typename T>
Result<T> decode(std::string_view bytes, const Limits &limits = {})
{
    Decoder decoder(bytes, limits);
    T value {};
    Codec<T>::read(decoder, value);
    if (const auto finished = decoder.finish(); !finished) {
        return boost::outcome_v2::failure(finished.error());
    }
    return value;
}

// ---------------------------------------------------------------------------------------------------------------------
// Scalars

template <>
struct Codec<bool> {
    static void write(Encoder &encoder, bool value)
    {
        encoder.writeBool(value);
    }
    static void read(Decoder &decoder, bool &value)
    {
        value = decoder.readBool();
    }
};

template <std::unsigned_integral T>
struct Codec<T> {
    static void write(Encoder &encoder, T value)
    {
        encoder.writeUnsigned(value);
    }
    static void read(Decoder &decoder, T &value)
    {
        const auto wide = decoder.readUnsigned();
        if (!std::in_range<T>(wide)) {
            decoder.fail("number out of its type's range");
            return;
        }
        value = static_cast<T>(wide);
    }
};

template <std::signed_integral T>
struct Codec<T> {
    static void write(Encoder &encoder, T value)
    {
        encoder.writeSigned(value);
    }
    static void read(Decoder &decoder, T &value)
    {
        const auto wide = decoder.readSigned();
        if (!std::in_range<T>(wide)) {
            decoder.fail("number out of its type's range");
            return;
        }
        value = static_cast<T>(wide);
    }
};

template <>
struct Codec<double> {
    static void write(Encoder &encoder, double value)
    {
        encoder.writeDouble(value);
    }
    static void read(Decoder &decoder, double &value)
    {
        value = decoder.readDouble();
    }
};

template <>
struct Codec<std::string> {
    static void write(Encoder &encoder, const std::string &value)
    {
        encoder.writeString(value);
    }
    static void read(Decoder &decoder, std::string &value)
    {
        value = decoder.readString();
    }
};

template <>
struct Codec<std::monostate> {
    static void write(Encoder &encoder, std::monostate)
    {
        encoder.writeNil();
    }
    static void read(Decoder &decoder, std::monostate &)
    {
        if (!decoder.consumeNil()) {
            decoder.fail("nil expected");
        }
    }
};

namespace detail
{
/** Enumerators are looked for in [0, enumeratorLimit). */
constexpr std::size_t enumeratorLimit = 64;

/** Whether a value is one of its enum's enumerators, told by how the compiler spells it. */
template <auto Value>
constexpr bool isEnumerator()
{
    constexpr std::string_view spelling = __PRETTY_FUNCTION__;
    constexpr std::string_view marker = "Value = ";
    const char first = spelling[spelling.rfind(marker) + marker.size()];
    return first != '(' && first != '-' && (first < '0' || first > '9');
}

template <typename Enum>
constexpr auto enumerators = []<std::size_t... Index>(std::index_sequence<Index...>)
{
    return std::array { isEnumerator<static_cast<Enum>(Index)>()... };
}
(std::make_index_sequence<enumeratorLimit>());
} // namespace detail

/** Enums with enumerators in [0, 64); any other value is Malformed. */
template <typename T>
requires std::is_enum_v<T>
struct Codec<T> {
    static void write(Encoder &encoder, T value)
    {
        encoder.writeUnsigned(static_cast<std::uint64_t>(value));
    }
    static void read(Decoder &decoder, T &value)
    {
        const auto number = decoder.readUnsigned();
        if (number >= detail::enumeratorLimit || !detail::enumerators<T>[number]) {
            decoder.fail("not an enumerator");
            return;
        }
        value = static_cast<T>(number);
    }
};

// ---------------------------------------------------------------------------------------------------------------------
// Vocabulary of base

template <typename Tag>
struct Codec<Name<Tag>> {
    static void write(Encoder &encoder, const Name<Tag> &name)
    {
        encoder.writeString(name.text());
    }
    static void read(Decoder &decoder, Name<Tag> &name)
    {
        name = Name<Tag>(std::string(decoder.readString()));
    }
};

template <typename Tag, typename Rep>
struct Codec<Number<Tag, Rep>> {
    static void write(Encoder &encoder, const Number<Tag, Rep> &number)
    {
        Codec<Rep>::write(encoder, number.value());
    }
    static void read(Decoder &decoder, Number<Tag, Rep> &number)
    {
        Rep value {};
        Codec<Rep>::read(decoder, value);
        number = Number<Tag, Rep>(value);
    }
};

/** Written as a number of microseconds. */
template <>
struct Codec<Duration> {
    static void write(Encoder &encoder, Duration duration)
    {
        encoder.writeSigned(duration.count());
    }
    static void read(Decoder &decoder, Duration &duration)
    {
        duration = Duration(decoder.readSigned());
    }
};

/** Written as a number of microseconds since the clock's start. */
template <typename ClockType>
struct Codec<std::chrono::time_point<ClockType, Duration>> {
    using Point = std::chrono::time_point<ClockType, Duration>;
    static void write(Encoder &encoder, Point point)
    {
        encoder.writeSigned(point.time_since_epoch().count());
    }
    static void read(Decoder &decoder, Point &point)
    {
        point = Point(Duration(decoder.readSigned()));
    }
};

// ---------------------------------------------------------------------------------------------------------------------
// Structs

namespace detail
{
template <typename T>
concept HasMembers = requires(T &value, const T &constant)
{
    value.members();
    constant.members();
};

/** Writes a tuple of references as an array. */
template <typename... Fields>
void writeFields(Encoder &encoder, const std::tuple<Fields &...> &fields)
{
    encoder.beginArray(sizeof...(Fields));
    std::apply([&](const auto &...field) { (Codec<std::remove_cvref_t<decltype(field)>>::write(encoder, field), ...); },
               fields);
}

/** Reads an array into a tuple of references; see the namespace's comment for arrays of another length. */
template <typename... Fields>
void readFields(Decoder &decoder, const std::tuple<Fields &...> &fields)
{
    std::size_t left = decoder.beginArray();
    const auto readNext = [&](auto &field) {
        if (left > 0) {
            Codec<std::remove_cvref_t<decltype(field)>>::read(decoder, field);
            --left;
        }
    };
    std::apply([&](auto &...field) { (readNext(field), ...); }, fields);
    for (; left > 0; --left) {
        decoder.skip();
    }
}

/** Reads the head of an array that must have exactly `count` items. */
inline bool beginExactArray(Decoder &decoder, std::size_t count)
{
    if (decoder.beginArray() != count) {
        decoder.fail("array of another length");
    }
    return !decoder.hasFailed();
}
} // namespace detail

template <detail::HasMembers T>
struct Codec<T> {
    static void write(Encoder &encoder, const T &value)
    {
        detail::writeFields(encoder, value.members());
    }
    static void read(Decoder &decoder, T &value)
    {
        detail::readFields(decoder, value.members());
    }
};

template <>
struct Codec<JobId> {
    static void write(Encoder &encoder, const JobId &job)
    {
        detail::writeFields(encoder, std::tie(job.owner, job.sequence));
    }
    static void read(Decoder &decoder, JobId &job)
    {
        detail::readFields(decoder, std::tie(job.owner, job.sequence));
    }
};

template <>
struct Codec<CallId> {
    static void write(Encoder &encoder, const CallId &call)
    {
        detail::writeFields(encoder, std::tie(call.job, call.stage, call.attempt));
    }
    static void read(Decoder &decoder, CallId &call)
    {
        detail::readFields(decoder, std::tie(call.job, call.stage, call.attempt));
    }
};

// ---------------------------------------------------------------------------------------------------------------------
// Containers

/** Written as nil when empty; T itself must not be written as nil. */
template <typename T>
struct Codec<std::optional<T>> {
    static void write(Encoder &encoder, const std::optional<T> &value)
    {
        if (value) {
            Codec<T>::write(encoder, *value);
        } else {
            encoder.writeNil();
        }
    }
    static void read(Decoder &decoder, std::optional<T> &value)
    {
        value.reset();
        if (!decoder.consumeNil()) {
            Codec<T>::read(decoder, value.emplace());
        }
    }
};

template <typename First, typename Second>
struct Codec<std::pair<First, Second>> {
    static void write(Encoder &encoder, const std::pair<First, Second> &value)
    {
        encoder.beginArray(2);
        Codec<First>::write(encoder, value.first);
        Codec<Second>::write(encoder, value.second);
    }
    static void read(Decoder &decoder, std::pair<First, Second> &value)
    {
        if (detail::beginExactArray(decoder, 2)) {
            Codec<First>::read(decoder, value.first);
            Codec<Second>::read(decoder, value.second);
        }
    }
};

template <typename T>
struct Codec<std::vector<T>> {
    static void write(Encoder &encoder, const std::vector<T> &values)
    {
        encoder.beginArray(values.size());
        for (const T &value : values) {
            Codec<T>::write(encoder, value);
        }
    }
    static void read(Decoder &decoder, std::vector<T> &values)
    {
        values.clear();
        for (std::size_t left = decoder.beginArray(); left > 0 && !decoder.hasFailed(); --left) {
            T value {};
            Codec<T>::read(decoder, value);
            values.push_back(std::move(value));
        }
    }
};

template <typename T, std::size_t Size>
struct Codec<std::array<T, Size>> {
    static void write(Encoder &encoder, const std::array<T, Size> &values)
    {
        encoder.beginArray(Size);
        for (const T &value : values) {
            Codec<T>::write(encoder, value);
        }
    }
    static void read(Decoder &decoder, std::array<T, Size> &values)
    {
        if (detail::beginExactArray(decoder, Size)) {
            for (T &value : values) {
                Codec<T>::read(decoder, value);
            }
        }
    }
};

/** A key that appears twice is Malformed. */
template <typename Key, typename Value>
struct Codec<std::map<Key, Value>> {
    static void write(Encoder &encoder, const std::map<Key, Value> &values)
    {
        encoder.beginMap(values.size());
        for (const auto &[key, value] : values) {
            Codec<Key>::write(encoder, key);
            Codec<Value>::write(encoder, value);
        }
    }
    static void read(Decoder &decoder, std::map<Key, Value> &values)
    {
        values.clear();
        for (std::size_t left = decoder.beginMap(); left > 0 && !decoder.hasFailed(); --left) {
            Key key {};
            Codec<Key>::read(decoder, key);
            const auto [position, isNew] = values.try_emplace(std::move(key));
            if (!isNew) {
                decoder.fail("key twice in a map");
                return;
            }
            Codec<Value>::read(decoder, position->second);
        }
    }
};

/** Written as an array of the alternative's index and its value; an unknown index is Malformed. */
template <typename... Alternatives>
struct Codec<std::variant<Alternatives...>> {
    using Variant = std::variant<Alternatives...>;

    static void write(Encoder &encoder, const Variant &value)
    {
        encoder.beginArray(2);
        encoder.writeUnsigned(value.index());
        std::visit([&](const auto &held) { Codec<std::remove_cvref_t<decltype(held)>>::write(encoder, held); }, value);
    }
    static void read(Decoder &decoder, Variant &value)
    {
        if (!detail::beginExactArray(decoder, 2)) {
            return;
        }
        const auto index = decoder.readUnsigned();
        if (index >= sizeof...(Alternatives)) {
            decoder.fail("unknown alternative of a variant");
            return;
        }
        readAlternative(decoder, value, index, std::index_sequence_for<Alternatives...>());
    }

private:
    template <std::size_t... Index>
    static void readAlternative(Decoder &decoder, Variant &value, std::size_t index, std::index_sequence<Index...>)
    {
        const auto readOne = [&]<std::size_t One>(std::integral_constant<std::size_t, One>) {
            using Held = std::variant_alternative_t<One, Variant>;
            Codec<Held>::read(decoder, value.template emplace<One>());
        };
        ((index == Index ? readOne(std::integral_constant<std::size_t, Index>()) : void()), ...);
    }
};

} // namespace lacewing::wire
