#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <string>

/// Writes down a whole session as a reader can follow it: who sent what to whom at which virtual time, one line each,
/// and the sums at the end. The text is kept in a golden file and must come out the same, byte by byte, on every run.
class SessionRecorder
{
public:
    explicit SessionRecorder(const RadishSwitch::TimerService &timers);

    /// One message. `text` is in users' terms and has no names that change from run to run.
    void sends(const std::string &from, const std::string &to, const std::string &text);

    /// Something that is no message: a death, an outage, a decision.
    void happens(const std::string &text);

    /// A line that says what the reader is about to see.
    void tells(const std::string &text);

    /// A sum at the end.
    void sums(const std::string &what, std::int64_t amount, const std::string &unit = "tokens");

    const std::string &text() const;

    /// Compares with the golden file `NAME.golden` beside the tests; a GoogleTest failure shows the first line that
    /// differs. With RADISHSWITCH_RENEW_GOLDEN=1 in the environment it writes the file instead.
    void expectGolden(const std::string &name) const;

private:
    std::string time() const;

    const RadishSwitch::TimerService &m_timers;
    std::string m_text;
};
