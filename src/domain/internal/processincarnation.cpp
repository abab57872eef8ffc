#include "domain/processincarnation.h"

#include <chrono>
#include <random>

namespace oriolerill::domain {

Incarnation newIncarnation()
{
    using std::chrono::milliseconds;
    constexpr unsigned RandomBits = 12;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto time = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    std::random_device device;
    const std::uint64_t random = device() & ((1U << RandomBits) - 1U);
    return Incarnation(time << RandomBits | random);
}

} // namespace oriolerill::domain
