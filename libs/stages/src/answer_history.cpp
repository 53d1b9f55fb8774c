#include <stages/stages.h>

#include <algorithm>

namespace lacewing::stages
{
namespace
{

/** Longer than an unused connection to an endpoint is kept and a call on it takes. */
constexpr Duration retention = 10s;

std::uint64_t hashOf(std::span<const PieceTask> pieces)
{
    std::uint64_t hash = 0;
    for (const auto &piece : pieces) {
        const std::uint64_t index = (std::uint64_t(piece.index.stage) << 32U) | piece.index.piece;
        hash = hashBytes(piece.request.text(), hash + index);
    }
    return hash;
}

} // namespace

bool AnswerHistory::record(const routing::EndpointLifetime &endpoint,
                           std::span<const PieceTask> pieces,
                           const ResultHandle &firstResult,
                           Time now)
{
    const Answer answer { now, hashBytes(firstResult.text()), hashOf(pieces) };
    auto &answers = answers_[endpoint];
    while (!answers.empty() && now - answers.front().receivedAt > retention) {
        answers.pop_front();
    }
    const bool isRepeated = std::any_of(answers.begin(), answers.end(), [&](const Answer &earlier) {
        return earlier.firstResult == answer.firstResult && earlier.call != answer.call;
    });
    if (!isRepeated) {
        answers.push_back(answer);
    }
    return !isRepeated;
}

void AnswerHistory::expire(Time now)
{
    std::erase_if(answers_, [&](const auto &item) {
        return item.second.empty() || now - item.second.back().receivedAt > retention;
    });
}

} // namespace lacewing::stages
