#include <config/config.h>

#include <array>

namespace lacewing::config
{
namespace
{

constexpr std::array<std::pair<StageKind, std::string_view>, 5> stageKindTexts { {
    { StageKind::Encode, "encode" },
    { StageKind::Retrieve, "retrieve" },
    { StageKind::Rerank, "rerank" },
    { StageKind::Generate, "generate" },
    { StageKind::Service, "service" },
} };

} // namespace

std::string_view toText(StageKind kind) noexcept
{
    for (const auto &[candidate, text] : stageKindTexts) {
        if (candidate == kind) {
            return text;
        }
    }
    return "unlisted";
}

std::optional<StageKind> stageKindFromText(std::string_view text) noexcept
{
    for (const auto &[kind, candidate] : stageKindTexts) {
        if (candidate == text) {
            return kind;
        }
    }
    return std::nullopt;
}

ItemKey keyOf(const Item &item)
{
    return std::visit(Overloaded {
                          [](const ClassSpec &spec) { return ItemKey("class/" + spec.id.text()); },
                          [](const PipelineSpec &spec) { return ItemKey("pipeline/" + spec.id.text()); },
                          [](const WorkspaceSpec &spec) { return ItemKey("workspace/" + spec.id.text()); },
                          [](const PoolSpec &spec) { return ItemKey("pool/" + spec.id.text()); },
                          [](const ModelSpec &spec) { return ItemKey("model/" + spec.id.text()); },
                      },
                      item);
}

} // namespace lacewing::config
