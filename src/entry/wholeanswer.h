#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace RadishSwitch
{

/// Puts the chunks of a streamed chat completion together to the one object that a caller gets who asked for no stream.
class WholeAnswer
{
public:
    WholeAnswer();
    ~WholeAnswer();

    /// Takes the data of one event: a chunk in JSON.
    void add(const std::string &data);

    /// The chat completion in JSON. EndpointFailed when an event told of an error, so that a part of an answer never
    /// passes for the whole.
    absl::StatusOr<std::string> body() const;

private:
    void addChoice(const nlohmann::json &choice);

    std::unique_ptr<nlohmann::json> m_answer;
    std::unique_ptr<nlohmann::json> m_choice;
    std::string m_error;
};

}
