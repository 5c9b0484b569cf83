/// Converts days of lunar and civil calendars to civil (Gregorian) dates.
#pragma once

#include "Types.h"

#include <optional>
#include <string_view>

namespace bilberry {

/// Whether the calendar type is supported. Thread safe.
bool isSupportedCalendar(std::string_view calendar);

/// The start (midnight UTC) of the next day at or after `from` that has this month and day in the calendar; the day that
/// contains `from` is included. With `year`, only that year's day is considered, and it may lie in the past.
/// Returns nothing when the calendar has no such day within two of its years. Month and day are 1-based. Thread safe.
std::optional<WallTime> findCalendarDay(std::string_view calendar, int month, int day, std::optional<int> year, WallTime from);

/// How far a day that findCalendarDay() returns may be from the day that the calendar's authorities publish: one day for
/// calendars whose months are computed from approximate astronomy, else zero. Thread safe.
std::chrono::hours calendarTolerance(std::string_view calendar);

} // namespace bilberry
