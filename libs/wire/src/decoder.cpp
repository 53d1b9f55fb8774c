#include <wire/wire.h>

#include <msgpack.hpp>

namespace lacewing::wire
{

namespace
{

struct Nil {
};
struct ArrayHead {
    std::size_t count = 0; ///< items that follow
};
struct MapHead {
    std::size_t count = 0; ///< pairs that follow
};

/** One item of the input. Negative integers are the only ones held as signed. */
using Item = std::variant<Nil, bool, std::uint64_t, std::int64_t, double, std::string_view, ArrayHead, MapHead>;

/**
 * Receives the parser's events and lists the items in order.
 *
 * Counts announced by the input allocate nothing: the list grows only with items that are really there.
 */
class ItemCollector : public msgpack::null_visitor
{
public:
    ItemCollector(std::vector<Item> &items, const Limits &limits)
        : items_(items)
        , limits_(limits)
    {
    }

    std::optional<Error> error() const
    {
        return error_;
    }

    bool visit_nil() // NOLINT(readability-identifier-naming): msgpack's name
    {
        return add(Nil {});
    }
    bool visit_boolean(bool value) // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }
    bool visit_positive_integer(std::uint64_t value) // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }
    bool visit_negative_integer(std::int64_t value) // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }
    bool visit_float32(float value) // NOLINT(readability-identifier-naming)
    {
        return add(static_cast<double>(value));
    }
    bool visit_float64(double value) // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }
    bool visit_str(const char *data, std::uint32_t size) // NOLINT(readability-identifier-naming)
    {
        return add(std::string_view(data, size));
    }
    bool visit_bin(const char *data, std::uint32_t size) // NOLINT(readability-identifier-naming)
    {
        return add(std::string_view(data, size));
    }
    bool visit_ext(const char *, std::uint32_t) // NOLINT(readability-identifier-naming)
    {
        return refuse(ErrorKind::Malformed, "extension type");
    }
    bool start_array(std::uint32_t count) // NOLINT(readability-identifier-naming)
    {
        return add(ArrayHead { count }) && enter();
    }
    bool end_array() // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }
    bool start_map(std::uint32_t count) // NOLINT(readability-identifier-naming)
    {
        return add(MapHead { count }) && enter();
    }
    bool end_map() // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }
    void parse_error(std::size_t, std::size_t) // NOLINT(readability-identifier-naming)
    {
        refuse(ErrorKind::Malformed, "not MessagePack");
    }
    void insufficient_bytes(std::size_t, std::size_t) // NOLINT(readability-identifier-naming)
    {
        refuse(ErrorKind::Malformed, "cut short");
    }

private:
    bool add(Item item)
    {
        if (items_.size() >= limits_.elements) {
            return refuse(ErrorKind::TooLarge, "too many elements");
        }
        items_.push_back(item);
        return true;
    }

    bool enter()
    {
        if (++depth_ > limits_.depth) {
            return refuse(ErrorKind::TooLarge, "nested too deeply");
        }
        return true;
    }

    bool refuse(ErrorKind kind, std::string detail)
    {
        if (!error_) {
            error_ = Error { kind, std::move(detail) };
        }
        return false;
    }

    std::vector<Item> &items_;
    const Limits &limits_;
    std::size_t depth_ = 0;
    std::optional<Error> error_;
};

/** Lists the items of the input. */
Result<std::vector<Item>> collectItems(std::string_view bytes, const Limits &limits)
{
    if (bytes.size() > limits.bytes) {
        return failure(ErrorKind::TooLarge, "too many bytes");
    }
    std::vector<Item> items;
    ItemCollector collector(items, limits);
    std::size_t used = 0;
    const bool isParsed = msgpack::parse(bytes.data(), bytes.size(), used, collector);
    if (const auto error = collector.error()) {
        return boost::outcome_v2::failure(*error);
    }
    if (!isParsed || used != bytes.size()) {
        return failure(ErrorKind::Malformed, "bytes left over or missing");
    }
    return items;
}

} // namespace

class Decoder::State
{
public:
    /** The next item when it is a T; fails otherwise. */
    template <typename T>
    T take(const char *expected)
    {
        if (const T *item = error ? nullptr : peek<T>()) {
            ++position;
            return *item;
        }
        fail(expected);
        return T {};
    }

    template <typename T>
    const T *peek() const
    {
        return position < items.size() ? std::get_if<T>(&items[position]) : nullptr;
    }

    void fail(std::string detail)
    {
        if (!error) {
            error = Error { ErrorKind::Malformed, std::move(detail) };
        }
    }

    std::vector<Item> items;
    std::size_t position = 0;
    std::optional<Error> error;
};

Decoder::Decoder(std::string_view bytes, const Limits &limits)
    : state_(std::make_unique<State>())
{
    auto items = collectItems(bytes, limits);
    if (items) {
        state_->items = std::move(items.value());
    } else {
        state_->error = items.error();
    }
}

Decoder::~Decoder() = default;

bool Decoder::consumeNil()
{
    if (state_->error || !state_->peek<Nil>()) {
        return false;
    }
    ++state_->position;
    return true;
}

bool Decoder::readBool()
{
    return state_->take<bool>("boolean expected");
}

std::uint64_t Decoder::readUnsigned()
{
    return state_->take<std::uint64_t>("unsigned number expected");
}

std::int64_t Decoder::readSigned()
{
    if (state_->peek<std::int64_t>()) {
        return state_->take<std::int64_t>("number expected");
    }
    const auto value = state_->take<std::uint64_t>("number expected");
    if (!std::in_range<std::int64_t>(value)) {
        state_->fail("number out of its type's range");
        return 0;
    }
    return static_cast<std::int64_t>(value);
}

double Decoder::readDouble()
{
    // The packer writes a double without a fraction as an integer.
    if (state_->peek<std::uint64_t>()) {
        return static_cast<double>(readUnsigned());
    }
    if (state_->peek<std::int64_t>()) {
        return static_cast<double>(readSigned());
    }
    return state_->take<double>("floating-point number expected");
}

std::string_view Decoder::readString()
{
    return state_->take<std::string_view>("string expected");
}

std::size_t Decoder::beginArray()
{
    return state_->take<ArrayHead>("array expected").count;
}

std::size_t Decoder::beginMap()
{
    return state_->take<MapHead>("map expected").count;
}

void Decoder::skip()
{
    for (std::size_t left = 1; left > 0; --left) {
        if (state_->error || state_->position >= state_->items.size()) {
            state_->fail("item expected");
            return;
        }
        const Item &item = state_->items[state_->position++];
        if (const auto *array = std::get_if<ArrayHead>(&item)) {
            left += array->count;
        } else if (const auto *map = std::get_if<MapHead>(&item)) {
            left += 2 * map->count;
        }
    }
}

bool Decoder::hasFailed() const noexcept
{
    return state_->error.has_value();
}

void Decoder::fail(std::string detail)
{
    state_->fail(std::move(detail));
}

Result<void> Decoder::finish()
{
    if (!state_->error && state_->position != state_->items.size()) {
        state_->fail("items left over");
    }
    if (state_->error) {
        return boost::outcome_v2::failure(*state_->error);
    }
    return success();
}

} // namespace lacewing::wire
