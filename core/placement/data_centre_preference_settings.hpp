#pragma once

namespace fuchsiaquay {

/// Settings of `data_centre_preference`, as fractions of the time left to the target.
struct data_centre_preference_settings {
    /// Short prompts leave the data centre if the first event would take longer there. Equal to
    /// the fraction up to which placements count as on time.
    double short_leave = 0.85;
    /// They return once it would take at most this.
    double short_return = 0.65;
    /// The same for long prompts. They move few bytes for each second of engine time, so they
    /// leave first and return last.
    double long_leave = 0.65;
    double long_return = 0.45;
};

}  // namespace fuchsiaquay
