#include <wire/wire.h>

#include <msgpack.hpp>

namespace lacewing::wire
{

namespace
{
/** Lets the packer append to a string. */
struct StringBuffer {
    std::string bytes;

    void write(const char *data, std::size_t size)
    {
        bytes.append(data, size);
    }
};
} // namespace

class Encoder::State
{
public:
    StringBuffer buffer;
    msgpack::packer<StringBuffer> packer { buffer };
};

Encoder::Encoder()
    : state_(std::make_unique<State>())
{
}

Encoder::~Encoder() = default;

void Encoder::writeNil()
{
    state_->packer.pack_nil();
}

void Encoder::writeBool(bool value)
{
    value ? state_->packer.pack_true() : state_->packer.pack_false();
}

void Encoder::writeUnsigned(std::uint64_t value)
{
    state_->packer.pack_uint64(value);
}

void Encoder::writeSigned(std::int64_t value)
{
    state_->packer.pack_int64(value);
}

void Encoder::writeDouble(double value)
{
    state_->packer.pack_double(value);
}

void Encoder::writeString(std::string_view bytes)
{
    const auto size = static_cast<std::uint32_t>(bytes.size());
    state_->packer.pack_str(size);
    state_->packer.pack_str_body(bytes.data(), size);
}

void Encoder::beginArray(std::size_t count)
{
    state_->packer.pack_array(static_cast<std::uint32_t>(count));
}

void Encoder::beginMap(std::size_t count)
{
    state_->packer.pack_map(static_cast<std::uint32_t>(count));
}

std::string Encoder::take()
{
    return std::exchange(state_->buffer.bytes, {});
}

} // namespace lacewing::wire
