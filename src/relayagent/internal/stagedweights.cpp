#include "relayagent/internal/stagedweights.h"

#include "observability/log.h"

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::WeightsVersion;
using observability::logEvent;
using observability::Severity;

namespace {

/// The platform tolerates the load of a piece that was corrupted less than 3 s before the engine
/// accepted the order. The rest of that time is for an engine that reads the order late.
constexpr auto VerificationLifetime = std::chrono::milliseconds(2000);

bool isPiece(
        const std::string &bytes, const distribution::PieceManifest &manifest, std::uint32_t piece)
{
    return domain::Digest::of(std::string_view(bytes)) == manifest.pieces[piece];
}

} // namespace

StagedWeights::StagedWeights(EngineClient &engine, domain::SuspensionClock &clock)
    : m_engine(engine)
    , m_clock(clock)
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

asio::awaitable<std::optional<VerifiedWeights>> StagedWeights::verify(Transfer transfer)
{
    const WeightsVersion version = transfer->manifest().version;
    const domain::TimePoint checkedAt = m_clock.now();
    for (std::uint32_t piece = 0; piece < transfer->manifest().pieces.size(); ++piece) {
        const auto staged = co_await m_engine.readStaged(version.model, piece);
        if (staged && isPiece(*staged, transfer->manifest(), piece))
            continue;
        logEvent(Severity::Warning, "staged_piece_bad",
                {{"version", version.number}, {"piece", piece},
                        {"remedy", "the piece is staged again"}});
        auto restaged = co_await m_engine.stage(version.model, piece, *transfer->piece(piece));
        if (!restaged)
            co_return std::nullopt;
    }
    co_return VerifiedWeights{version, checkedAt, checkedAt + VerificationLifetime};
}

asio::awaitable<std::optional<bool>> StagedWeights::areIntact(Transfer transfer)
{
    const WeightsVersion version = transfer->manifest().version;
    for (std::uint32_t piece = 0; piece < transfer->manifest().pieces.size(); ++piece) {
        const auto staged = co_await m_engine.readStaged(version.model, piece);
        if (!staged)
            co_return std::nullopt;
        if (!isPiece(*staged, transfer->manifest(), piece))
            co_return false;
    }
    co_return true;
}

} // namespace oriolerill::relayagent::internal
