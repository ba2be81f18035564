#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

struct EndpointOverloadSettings {
    /// Added by an answer that came late, and taken off by one that came in time. Where one answer in eight is late the
    /// two are in balance; on ordinary days one in fifty is.
    double lateIncrease = 0.15;
    double inTimeDecrease = 0.02;
    /// As little is borne without turning calls away: a single late answer is chance.
    double threshold = 0.2;
    /// Some calls go there at any pressure, or nobody would learn that it is over.
    double maximum = 0.8;
    /// Without answers half of it is forgotten in this time.
    Duration halfLife = std::chrono::seconds(1);

    bool operator==(const EndpointOverloadSettings &) const = default;
};

/// How much more an endpoint is sent than it answers in time, from 0 to 1: the part of new calls to turn away.
///
/// Load pattern: a plain service has lost maximum of its endpoints, and what is left is sent a little more than it can do.
/// Its queue fills with the calls of many gateways, none of which has more than one or two there; each call waits for
/// as long as it may take, and all are late. Where a tenth is turned away the queue is short, and the others are in
/// time.
class EndpointOverload
{
public:
    explicit EndpointOverload(EndpointOverloadSettings settings = {});

    void noteAnswer(bool isLate, Instant now);

    double refusalShare(Instant now) const;

private:
    double level(Instant now) const;

    EndpointOverloadSettings m_settings;
    /// Of late answers, with what is threshold of it.
    double m_level = 0;
    Instant m_updatedAt{};
};

}
