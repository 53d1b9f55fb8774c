#include <stages/stages.h>

#include <algorithm>

namespace lacewing::stages
{
namespace
{

/** Longer than a connection is unused and a call on it takes. */
constexpr Duration retention = 2 * AnswerHistory::maxConnectionAge;

std::uint64_t hashOf(std::span<const PieceTask> pieces)
{
    std::uint64_t hash = 0;
    for (const auto &piece : pieces) {
        const std::uint64_t index = (std::uint64_t(piece.index.stage) << 32U) | piece.index.piece;
        hash = hashBytes(piece.request.text(), hash + index);
        hash = hashBytes(piece.contentKey, hash); // tells requests without an id apart
    }
    return hash;
}

} // namespace

AnswerOwner AnswerHistory::record(ConnectionKey connection,
                                  std::span<const PieceTask> pieces,
                                  const ResultHandle &firstResult,
                                  Time now)
{
    const Answer answer { now, hashBytes(firstResult.text()), hashOf(pieces) };
    auto &answers = answers_[connection];
    const auto earlier = std::find_if(answers.rbegin(), answers.rend(), [&](const Answer &candidate) {
        return candidate.firstResult == answer.firstResult;
    });
    if (earlier == answers.rend()) {
        answers.push_back(answer);
        return AnswerOwner::ThisCall;
    }
    return earlier->call == answer.call ? AnswerOwner::EitherCall : AnswerOwner::EarlierCall;
}

void AnswerHistory::expire(Time now)
{
    std::erase_if(answers_, [&](const auto &item) {
        return item.second.empty() || now - item.second.back().receivedAt > retention;
    });
}

} // namespace lacewing::stages
