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
        if (!areInputsAvailable(stage)) {
            continue;
        }
        std::vector<ResultHandle> inputs;
        for (const auto dependency : stages_[stage].dependencies) {
            for (const auto &piece : pieces_[dependency]) {
                inputs.push_back(piece.handle);
            }
        }
        for (std::uint32_t piece = 0; piece < pieces_[stage].size(); ++piece) {
            if (pieces_[stage][piece].state == PieceState::Pending) {
                pieces_[stage][piece].state = PieceState::Dispatched;
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
    if (piece.state != PieceState::Dispatched) {
        return false;
    }
    piece = { PieceState::Completed, std::move(handle) };
    return true;
}

void StagePlan::markFailed(PieceIndex index)
{
    Piece &piece = pieces_.at(index.stage).at(index.piece);
    if (piece.state == PieceState::Dispatched) {
        piece.state = PieceState::Pending;
    }
}

void StagePlan::markInputsLost(PieceIndex index)
{
    markFailed(index);
    for (const auto dependency : stages_.at(index.stage).dependencies) {
        resetStage(dependency);
    }
}

void StagePlan::markFinalResultsLost()
{
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!hasDependents(stage)) {
            resetStage(stage);
        }
    }
}

bool StagePlan::isComplete() const noexcept
{
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!hasDependents(stage) && !isStageComplete(stage)) {
            return false;
        }
    }
    return true;
}

std::vector<ResultHandle> StagePlan::finalResults() const
{
    std::vector<ResultHandle> results;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (hasDependents(stage)) {
            continue;
        }
        for (const auto &piece : pieces_[stage]) {
            results.push_back(piece.handle);
        }
    }
    return results;
}

std::vector<ResultHandle> StagePlan::takeReleasable()
{
    std::vector<ResultHandle> handles;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
        if (!hasDependents(stage) || !isStageComplete(stage)) {
            continue;
        }
        bool isNeeded = false;
        for (std::uint32_t dependent = stage + 1; dependent < stages_.size(); ++dependent) {
            const auto &dependencies = stages_[dependent].dependencies;
            isNeeded = isNeeded
                || (std::find(dependencies.begin(), dependencies.end(), stage) != dependencies.end()
                    && !isStageComplete(dependent));
        }
        if (isNeeded) {
            continue;
        }
        for (auto &piece : pieces_[stage]) {
            if (piece.state == PieceState::Completed) {
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
            if (piece.state == PieceState::Completed) {
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
        for (const auto dependency : stages_[stage].dependencies) {
            depth[stage] = std::max(depth[stage], depth[dependency]);
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
    for (std::uint32_t dependent = stage + 1; dependent < stages_.size(); ++dependent) {
        const auto &dependencies = stages_[dependent].dependencies;
        if (hasPieces(dependent) && std::find(dependencies.begin(), dependencies.end(), stage) != dependencies.end()) {
            deepest = std::max(deepest, 1 + depthAfter(dependent));
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
        return piece.state == PieceState::Completed || piece.state == PieceState::Released;
    });
}

bool StagePlan::hasDependents(std::uint32_t stage) const
{
    for (std::uint32_t dependent = stage + 1; dependent < stages_.size(); ++dependent) {
        const auto &dependencies = stages_[dependent].dependencies;
        if (hasPieces(dependent) && std::find(dependencies.begin(), dependencies.end(), stage) != dependencies.end()) {
            return true;
        }
    }
    return false;
}

/** Whether all results of the stages that a stage depends on are available, that is completed and not released. */
bool StagePlan::areInputsAvailable(std::uint32_t stage) const
{
    return std::all_of(
        stages_[stage].dependencies.begin(), stages_[stage].dependencies.end(), [&](std::uint32_t dependency) {
            return std::all_of(pieces_[dependency].begin(), pieces_[dependency].end(), [](const Piece &piece) {
                return piece.state == PieceState::Completed;
            });
        });
}

/** Makes a stage pending again, and recursively the stages it depends on if their results were released. */
void StagePlan::resetStage(std::uint32_t stage)
{
    for (auto &piece : pieces_[stage]) {
        if (piece.state != PieceState::Dispatched) {
            piece = {};
        }
    }
    for (const auto dependency : stages_[stage].dependencies) {
        const bool isReleased = std::any_of(pieces_[dependency].begin(),
                                            pieces_[dependency].end(),
                                            [](const Piece &piece) { return piece.state == PieceState::Released; });
        if (isReleased) {
            resetStage(dependency);
        }
    }
}

} // namespace lacewing::stages
