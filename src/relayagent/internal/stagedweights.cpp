#include "relayagent/internal/stagedweights.h"

#include "observability/log.h"

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::WeightsVersion;
using observability::logEvent;
using observability::Severity;

StagedWeights::StagedWeights(EngineClient &engine)
    : m_engine(engine)
{}

asio::awaitable<void> StagedWeights::offerTo(Transfer transfer)
{
    const domain::ModelId model = transfer->manifest().version.model;
    const auto held = co_await m_engine.listStaged(model);
    if (!held)
        co_return;
    for (const std::uint32_t piece : *held) {
        auto bytes = co_await m_engine.readStaged(model, piece);
        if (bytes)
            transfer->offer(piece, std::move(*bytes));
    }
}

asio::awaitable<bool> StagedWeights::stage(Transfer transfer)
{
    const WeightsVersion version = transfer->manifest().version;
    for (std::uint32_t piece = 0; piece < transfer->manifest().pieces.size(); ++piece) {
        auto staged = co_await m_engine.stage(version.model, piece, *transfer->piece(piece));
        if (!staged) {
            logEvent(Severity::Warning, "stage_failed",
                    {{"version", version.number}, {"piece", piece},
                            {"error", staged.error().message},
                            {"remedy", "all pieces are staged again"}});
            co_return false;
        }
    }
    m_version = version;
    co_return true;
}

asio::awaitable<bool> StagedWeights::verify(Transfer transfer)
{
    const WeightsVersion version = transfer->manifest().version;
    for (std::uint32_t piece = 0; piece < transfer->manifest().pieces.size(); ++piece) {
        const auto staged = co_await m_engine.readStaged(version.model, piece);
        const bool isIntact = staged
                && domain::Digest::of(std::string_view(*staged))
                        == transfer->manifest().pieces[piece];
        if (isIntact)
            continue;
        logEvent(Severity::Warning, "staged_piece_bad",
                {{"version", version.number}, {"piece", piece},
                        {"remedy", "the piece is staged again"}});
        auto restaged = co_await m_engine.stage(version.model, piece, *transfer->piece(piece));
        if (!restaged)
            co_return false;
    }
    co_return true;
}

} // namespace oriolerill::relayagent::internal
