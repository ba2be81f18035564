#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

struct EndpointOverloadSettings {
    /// Added to the overload level by each late answer, and subtracted by each answer in time. The two balance when one
    /// answer in eight is late; without overload about one in fifty is.
    double lateIncrease = 0.15;
    double inTimeDecrease = 0.02;
    /// No calls are refused up to this level, since a single late answer may be chance.
    double threshold = 0.2;
    /// Upper bound on the share of calls to refuse. The remaining calls show when the overload is over.
    double maximum = 0.8;
    /// Without answers the overload level halves in this time.
    Duration halfLife = std::chrono::seconds(1);

    bool operator==(const EndpointOverloadSettings &) const = default;
};

/// Estimates an endpoint's overload from its late answers, as the share of new calls to refuse, from 0 to 1.
///
/// Load pattern: a service has lost most of its endpoints, and the remaining ones get slightly more calls than they can
/// answer. Their queues fill with the calls of many gateways, none of which has more than one or two there. Each call
/// waits for as long as it may, and all answers are late. If a tenth of the calls is refused, the queues are short and
/// the other calls are answered in time.
class EndpointOverload
{
public:
    explicit EndpointOverload(EndpointOverloadSettings settings = {});

    void noteAnswer(bool isLate, Instant now);

    double refusalShare(Instant now) const;

private:
    double level(Instant now) const;

    EndpointOverloadSettings m_settings;
    /// The overload level, of which the part up to `threshold` is ignored.
    double m_level = 0;
    Instant m_updatedAt{};
};

}
