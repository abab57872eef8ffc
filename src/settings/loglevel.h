#pragma once

namespace oriolerill::settings {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

} // namespace oriolerill::settings
