#include "domain/allocator.h"

#include <malloc.h>

namespace oriolerill::domain {

namespace {

/// Allocations from this size on are mapped one by one. Bytes. Larger than the buffers of requests
/// and answers in ordinary use.
constexpr int MappedAllocationSize = 256 << 10;
/// Free memory at the end of the heap that the allocator keeps. Bytes.
constexpr int MaxRetainedHeap = 4 << 20;

} // namespace

/// By default glibc raises its threshold for mapped allocations to the size of those that were
/// freed, up to 32 MB. Later ones of that size come from the heap of each thread and stay resident
/// after they are freed, which the memory limit of a small VM does not allow.
void returnLargeBuffersToSystem()
{
#ifdef __GLIBC__
    ::mallopt(M_MMAP_THRESHOLD, MappedAllocationSize);
    ::mallopt(M_TRIM_THRESHOLD, MaxRetainedHeap);
#endif
}

} // namespace oriolerill::domain
