#include <ledger/ledger.h>

namespace lacewing::ledger
{
namespace
{

constexpr std::uint64_t highSeed = 1;
constexpr std::uint64_t lowSeed = 2;

} // namespace

KeyDigest digestOf(const WorkspaceId &workspace, const IdempotencyKey &key)
{
    const std::string text = std::to_string(workspace.text().size()) + ':' + workspace.text() + key.text();
    return { hashBytes(text, highSeed), hashBytes(text, lowSeed) };
}

std::uint32_t partitionOf(const KeyDigest &digest) noexcept
{
    return std::uint32_t(digest.high % claimPartitions);
}

log::StreamId claimStream(std::uint32_t partition)
{
    return log::StreamId("claims-" + std::to_string(partition));
}

} // namespace lacewing::ledger
