#pragma once

namespace oriolerill::domain {

/// Makes the allocator return the memory of large buffers to the system as soon as they are freed.
/// To be called at the start of a process, before its threads.
void returnLargeBuffersToSystem();

} // namespace oriolerill::domain
