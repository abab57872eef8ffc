#include "entry/internal/entryprocess.h"

#include <utility>

namespace oriolerill::entry {

EntryProcess::EntryProcess(settings::EntrySettings settings)
    : m_settings(std::move(settings))
{}

domain::Expected<domain::Done> EntryProcess::start()
{
    return domain::Done{};
}

void EntryProcess::stop() {}

} // namespace oriolerill::entry
