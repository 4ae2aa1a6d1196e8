#include "tanagerstall/process/experiment/tanagerstall_experiment_report.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace tanagerstall {

namespace {

/// Lengths in pixels.
constexpr int kLabelWidth = 190;
constexpr int kPlotWidth = 620;
constexpr int kRowHeight = 18;
constexpr double kAxisMinMs = 10;
constexpr double kAxisMaxMs = 120'000;

/// The horizontal position of a time in pixels, on a logarithmic scale.
int
XPosition(std::chrono::milliseconds aTime)
{
  double ms =
    std::clamp(static_cast<double>(aTime.count()), kAxisMinMs, kAxisMaxMs);
  double share = std::log(ms / kAxisMinMs) / std::log(kAxisMaxMs / kAxisMinMs);
  return kLabelWidth + static_cast<int>(share * kPlotWidth);
}

void
DrawAxis(std::ostream& aOut, int aHeight)
{
  for (int ms : { 10, 100, 1000, 10'000, 100'000 }) {
    int x = XPosition(std::chrono::milliseconds(ms));
    aOut << "<line x1='" << x << "' x2='" << x << "' y1='14' y2='" << aHeight
         << "' stroke='#ddd'/><text x='" << x
         << "' y='10' text-anchor='middle'>" << ms << " ms</text>";
  }
}

/// Draws the times of one policy: a line for short and one for long requests.
void
DrawRow(std::ostream& aOut, const ExperimentResult& aResult, int aY)
{
  aOut << "<text x='0' y='" << aY + 4 << "'>" << aResult.policy_ << "</text>";
  constexpr const char* kColours[] = { "#0a6", "#c50" };
  for (std::size_t i = 0; i < 2; ++i) {
    const auto& times = aResult.firstToken_[i];
    int y = aY + (i == 0 ? -3 : 3);
    aOut << "<line x1='" << XPosition(times.p50_) << "' x2='"
         << XPosition(times.p99_) << "' y1='" << y << "' y2='" << y
         << "' stroke='" << kColours[i]
         << "' stroke-width='2'/><circle r='3' cx='" << XPosition(times.p95_)
         << "' cy='" << y << "' fill='" << kColours[i] << "'/><line x1='"
         << XPosition(times.p99_) << "' x2='" << XPosition(times.p99_)
         << "' y1='" << y - 3 << "' y2='" << y + 3 << "' stroke='"
         << kColours[i] << "' stroke-width='2'/>";
  }
}

/// Draws one mix and scenario with a row for each policy.
void
DrawPlot(std::ostream& aOut, const ExperimentResults& aRows)
{
  int height = 24 + kRowHeight * static_cast<int>(aRows.size());
  aOut << "<h2>" << aRows.front().mix_ << ", " << aRows.front().scenario_
       << "</h2><svg xmlns='http://www.w3.org/2000/svg' width='"
       << kLabelWidth + kPlotWidth + 40 << "' height='" << height
       << "' font-family='sans-serif' font-size='11'>";
  DrawAxis(aOut, height);
  int y = 26;
  for (const auto& row : aRows) {
    DrawRow(aOut, row, y);
    y += kRowHeight;
  }
  aOut << "</svg>\n";
}

} // namespace

std::string
ExperimentPage(const ExperimentResults& aResults)
{
  std::ostringstream out;
  out << "<!DOCTYPE html><html lang='en'><meta charset='utf-8'>"
         "<title>tanagerstall experiments</title>"
         "<body style='font-family:sans-serif'>"
         "<h1>Time to the first token</h1><p>From the median to the 99th "
         "percentile, with a dot at the 95th; green: short work, orange: long "
         "work. Requests without a first token count with their "
         "deadline.</p>\n";
  ExperimentResults rows;
  for (const auto& mean : MeanOverSeeds(aResults)) {
    if (!rows.empty() && (rows.front().mix_ != mean.mix_ ||
                          rows.front().scenario_ != mean.scenario_)) {
      DrawPlot(out, rows);
      rows.clear();
    }
    rows.push_back(mean);
  }
  if (!rows.empty()) {
    DrawPlot(out, rows);
  }
  out << "<h1>Table</h1><pre>" << ExperimentTable(aResults)
      << "</pre></body></html>\n";
  return out.str();
}

} // namespace tanagerstall
