#pragma once

namespace oriolerill::admin {

/// Exit codes of both programs; part of the interface for scripts.
enum class ExitCode {
    Ok = 0,
    Failed = 1,
    /// Wrong usage or invalid input; nothing was done.
    BadInput = 2,
    /// The item has changed since the version named in the document.
    Conflict = 3,
    /// The entry or the platform cannot be reached; a later retry may succeed.
    Unavailable = 4,
};

} // namespace oriolerill::admin
