#include <stages/stages.h>

#include <algorithm>

namespace lacewing::stages
{

StagePlan::StagePlan(std::vector<routing::RouteStage> stages, std::vector<std::uint32_t> pieceCounts)
    : stages_(std::move(stages))
{
    pieceCounts.resize(stages_.size());
    for (const auto count : pieceCounts) {
        pieces_.emplace_back(count);
    }
}

std::vector<ReadyPiece> StagePlan::takeReady()
{
    std::vector<ReadyPiece> ready;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!areInputsMade(stage)) {
            continue;
        }
        std::vector<ResultHandle> inputs;
        for (const auto before : stages_[stage].after) {
            for (const auto &piece : pieces_[before]) {
                inputs.push_back(piece.handle);
            }
        }
        for (std::uint32_t piece = 0; piece < pieces_[stage].size(); ++piece) {
            if (pieces_[stage][piece].state == PieceState::Missing) {
                pieces_[stage][piece].state = PieceState::HandedOut;
                ready.push_back({ { stage, piece }, inputs });
            }
        }
    }
    return ready;
}

bool StagePlan::markCompleted(PieceIndex index, ResultHandle handle)
{
    if (index.stage >= pieces_.size() || index.piece >= pieces_[index.stage].size()) {
        return false;
    }
    Piece &piece = pieces_[index.stage][index.piece];
    if (piece.state != PieceState::HandedOut) {
        return false;
    }
    piece = { PieceState::Made, std::move(handle) };
    return true;
}

void StagePlan::markFailed(PieceIndex index)
{
    Piece &piece = pieces_.at(index.stage).at(index.piece);
    if (piece.state == PieceState::HandedOut) {
        piece.state = PieceState::Missing;
    }
}

void StagePlan::markInputsLost(PieceIndex index)
{
    markFailed(index);
    for (const auto before : stages_.at(index.stage).after) {
        forgetStage(before);
    }
}

void StagePlan::markFinalResultsLost()
{
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!isFollowed(stage)) {
            forgetStage(stage);
        }
    }
}

bool StagePlan::isComplete() const noexcept
{
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!isFollowed(stage) && !isStageComplete(stage)) {
            return false;
        }
    }
    return true;
}

std::vector<ResultHandle> StagePlan::finalResults() const
{
    std::vector<ResultHandle> inputs;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (isFollowed(stage)) {
            continue;
        }
        for (const auto &piece : pieces_[stage]) {
            inputs.push_back(piece.handle);
        }
    }
    return inputs;
}

std::vector<ResultHandle> StagePlan::takeReleasable()
{
    std::vector<ResultHandle> handles;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!isFollowed(stage) || !isStageComplete(stage)) {
            continue;
        }
        bool needed = false;
        for (std::uint32_t later = stage + 1; later < stages_.size(); ++later) {
            const auto &after = stages_[later].after;
            needed = needed || (std::find(after.begin(), after.end(), stage) != after.end() && !isStageComplete(later));
        }
        if (needed) {
            continue;
        }
        for (auto &piece : pieces_[stage]) {
            if (piece.state == PieceState::Made) {
                handles.push_back(piece.handle);
                piece.state = PieceState::Released;
            }
        }
    }
    return handles;
}

std::vector<ResultHandle> StagePlan::takeAllResults()
{
    std::vector<ResultHandle> handles;
    for (auto &stage : pieces_) {
        for (auto &piece : stage) {
            if (piece.state == PieceState::Made) {
                handles.push_back(piece.handle);
                piece.state = PieceState::Released;
            }
        }
    }
    return handles;
}

std::uint32_t StagePlan::pieceCount(std::uint32_t stage) const noexcept
{
    return stage < pieces_.size() ? static_cast<std::uint32_t>(pieces_[stage].size()) : 0;
}

std::uint32_t StagePlan::remainingDepth() const
{
    std::vector<std::uint32_t> depth(stages_.size(), 0);
    std::uint32_t deepest = 0;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        for (const auto before : stages_[stage].after) {
            depth[stage] = std::max(depth[stage], depth[before]);
        }
        if (hasPieces(stage) && !isStageComplete(stage)) {
            ++depth[stage];
        }
        deepest = std::max(deepest, depth[stage]);
    }
    return deepest;
}

std::uint32_t StagePlan::depthAfter(std::uint32_t stage) const
{
    std::uint32_t deepest = 0;
    for (std::uint32_t later = stage + 1; later < stages_.size(); ++later) {
        const auto &after = stages_[later].after;
        if (hasPieces(later) && std::find(after.begin(), after.end(), stage) != after.end()) {
            deepest = std::max(deepest, 1 + depthAfter(later));
        }
    }
    return deepest;
}

bool StagePlan::hasPieces(std::uint32_t stage) const noexcept
{
    return !pieces_[stage].empty();
}

bool StagePlan::isStageComplete(std::uint32_t stage) const
{
    return std::all_of(pieces_[stage].begin(), pieces_[stage].end(), [](const Piece &piece) {
        return piece.state == PieceState::Made || piece.state == PieceState::Released;
    });
}

bool StagePlan::isFollowed(std::uint32_t stage) const
{
    for (std::uint32_t later = stage + 1; later < stages_.size(); ++later) {
        const auto &after = stages_[later].after;
        if (hasPieces(later) && std::find(after.begin(), after.end(), stage) != after.end()) {
            return true;
        }
    }
    return false;
}

/** True when every stage that this one needs is made and still held. */
bool StagePlan::areInputsMade(std::uint32_t stage) const
{
    return std::all_of(stages_[stage].after.begin(), stages_[stage].after.end(), [&](std::uint32_t before) {
        return std::all_of(pieces_[before].begin(), pieces_[before].end(), [](const Piece &piece) {
            return piece.state == PieceState::Made;
        });
    });
}

/** Has a stage made again, and before it whatever it needs that is not held any more. */
void StagePlan::forgetStage(std::uint32_t stage)
{
    for (auto &piece : pieces_[stage]) {
        if (piece.state != PieceState::HandedOut) {
            piece = {};
        }
    }
    for (const auto before : stages_[stage].after) {
        const bool released = std::any_of(pieces_[before].begin(), pieces_[before].end(), [](const Piece &piece) {
            return piece.state == PieceState::Released;
        });
        if (released) {
            forgetStage(before);
        }
    }
}

} // namespace lacewing::stages
