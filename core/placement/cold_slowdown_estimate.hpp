#pragma once

#include <map>
#include <string>

namespace fuchsiaquay {

/// Estimates how many times slower than their profiles the cold engines of a service run. All of
/// them run the same model, so what the streams of one show holds for the others.
class cold_slowdown_estimate {
public:
    /// Records a pass of a cold engine.
    /// @param ratio  measured time divided by the time expected from the profile and the load
    void observe(const std::string& service, double ratio);
    /// Factor by which a cold engine is slower; a careful assumption before the first observation.
    double slowdown_of(const std::string& service) const;

private:
    std::map<std::string, double> estimates_;
};

}  // namespace fuchsiaquay
