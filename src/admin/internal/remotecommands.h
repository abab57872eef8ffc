#pragma once

#include "admin/commandline.h"
#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "transport/httpmessage.h"

#include <string>
#include <vector>

namespace oriolerill::admin::internal {

struct RemoteOptions
{
    /// Administration addresses of entries.
    std::vector<domain::SocketAddress> entries;
    std::string token;
    bool isJson = false;
};

/// The commands that use the administration API.
class RemoteCommands
{
public:
    RemoteCommands(const CommandContext &context, RemoteOptions options);

    /// Sends the document to the first entry that answers.
    ExitCode apply(const std::string &document, bool isDryRun) const;
    /// Merges the status of all entries; each lists the endpoints of its own data centre.
    ExitCode status(const std::string &version) const;
    /// Sums the counters of all entries.
    ExitCode report() const;

private:
    struct Answer
    {
        domain::SocketAddress entry;
        domain::Expected<transport::HttpResponse> response;
    };

    Answer send(const domain::SocketAddress &entry, const std::string &method,
            const std::string &target, const std::string &body = {}) const;
    /// Sends a GET request to every entry.
    std::vector<Answer> queryAll(const std::string &target) const;
    ExitCode reportFailure(const Answer &answer) const;
    void showApplied(const std::string &body) const;

    const CommandContext &m_context;
    RemoteOptions m_options;
};

} // namespace oriolerill::admin::internal
