#include "command/fleet_options.h"

#include <cxxtools/split.h>

#include <fstream>
#include <iterator>

namespace bamboomount {
namespace {

constexpr int kDefaultRequestSeconds = 5;
// Changes are in force everywhere within 5 s; twice that shows a laggard.
constexpr int kDefaultWaitSeconds = 10;
constexpr int kMillisPerSecond = 1000;

Error UsageError(std::string message) {
  return {ErrorCode::kBadRequest, RunVerdict::kNotRun, std::move(message), {}};
}

std::string TrimLineEnd(std::string text) {
  text.erase(text.find_last_not_of("\r\n") + 1);
  return text;
}

}  // namespace

FleetOptions::FleetOptions(CommandLine& line)
    : servers_("s",
               "server",
               "Admin address ip:port of an instance; may be given several "
               "times, the first that answers is used (default: "
               "BAMBOOMOUNT_SERVERS, separated by commas)",
               false,
               "ip:port"),
      token_file_("",
                  "token-file",
                  "File with the admin token (default: the variable "
                  "BAMBOOMOUNT_ADMIN_TOKEN)",
                  false,
                  "",
                  "file"),
      author_("",
              "author",
              "Name that the change log records (default: the variable USER)",
              false,
              "",
              "name"),
      request_timeout_("",
                       "request-timeout",
                       "Seconds that one request may take",
                       false,
                       kDefaultRequestSeconds,
                       "seconds"),
      wait_("",
            "wait",
            "Seconds to wait until a change is in force on all instances",
            false,
            kDefaultWaitSeconds,
            "seconds") {
  line.Add(servers_);
  line.Add(token_file_);
  line.Add(author_);
  line.Add(request_timeout_);
  line.Add(wait_);
}

Result<FleetAccess> FleetOptions::Access(const Console& console) const {
  FleetAccess access;
  access.servers = servers_.getValue();
  const std::string environment_servers =
      console.EnvironmentVariable("BAMBOOMOUNT_SERVERS");
  if (access.servers.empty() && !environment_servers.empty())
    cxxtools::split(',', environment_servers,
                    std::back_inserter(access.servers));
  if (access.servers.empty())
    return UsageError(
        "no instance is named; use --server or BAMBOOMOUNT_SERVERS");
  access.token = console.EnvironmentVariable("BAMBOOMOUNT_ADMIN_TOKEN");
  if (token_file_.isSet()) {
    BOOST_OUTCOME_TRY(token, ReadFile(token_file_.getValue()));
    access.token = TrimLineEnd(token);
  }
  if (access.token.empty())
    return UsageError(
        "no admin token is given; use --token-file or "
        "BAMBOOMOUNT_ADMIN_TOKEN");
  access.author = author_.isSet() ? author_.getValue()
                                  : console.EnvironmentVariable("USER");
  if (access.author.empty())
    return UsageError("the author is not known; use --author");
  if (request_timeout_.getValue() < 1 || wait_.getValue() < 0)
    return UsageError("--request-timeout must be 1 or more, --wait 0 or more");
  access.request_timeout =
      Millis(request_timeout_.getValue() * kMillisPerSecond);
  access.wait = Millis(wait_.getValue() * kMillisPerSecond);
  return access;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return Error{
        ErrorCode::kNotFound, RunVerdict::kNotRun, "cannot read " + path, {}};
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace bamboomount
