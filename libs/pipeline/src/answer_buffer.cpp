#include <pipeline/pipeline.h>

namespace lacewing::pipeline
{

AnswerBuffer::AnswerBuffer(Bytes bound) noexcept
    : bound_(static_cast<std::size_t>(bound.value()))
{
}

ChunkResult AnswerBuffer::append(ByteOffset offset, std::string_view text)
{
    const std::uint64_t start = offset.value();
    const std::uint64_t known = text_.size();
    if (start > known) {
        return ChunkResult::Gap;
    }
    const std::uint64_t overlap = known - start;
    if (overlap >= text.size()) {
        return ChunkResult::Duplicate;
    }
    text.remove_prefix(static_cast<std::size_t>(overlap));
    if (text.size() > bound_ - text_.size()) {
        return ChunkResult::TooLarge;
    }
    text_.append(text);
    return ChunkResult::Appended;
}

ByteOffset AnswerBuffer::end() const noexcept
{
    return ByteOffset(text_.size());
}

const std::string &AnswerBuffer::text() const noexcept
{
    return text_;
}

std::string_view AnswerBuffer::from(ByteOffset offset) const noexcept
{
    if (offset.value() >= text_.size()) {
        return {};
    }
    return std::string_view(text_).substr(static_cast<std::size_t>(offset.value()));
}

} // namespace lacewing::pipeline
