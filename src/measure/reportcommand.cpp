#include "reportcommand.h"

#include "truthreader.h"

#include <CLI/CLI.hpp>

#include <algorithm>

namespace RadishSwitch
{

void ReportCommand::addTo(CLI::App &app)
{
    app.add_option("--file", m_files, "File with one JSON object of figures");
    app.add_option("--numbers", m_numbers, "PREFIX=FILE: all numbers of a file's object, with a prefix to their names");
    app.add_option("--figure", m_figures, "NAME=JSON, or NAME=A+B-C*D/E of figures and numbers, from left to right");
    app.add_option("--pick", m_picks, "Figures to print, instead of all; NAME* stands for all that begin so");
    app.add_option("--require", m_requirements, "Promise: NAME OP NAME-or-number, with ==, <= or >=");
    app.add_option("--aim", m_aims, "Goal, as --require; a missed one is no failure");
}

absl::Status ReportCommand::run(Report &report) const
{
    absl::Status status;
    for (const std::string &name : m_files) {
        const auto text = readFile(name);
        status.Update(text.ok() ? report.add(*text) : text.status());
    }
    for (const std::string &numbers : m_numbers) {
        const auto equals = std::min(numbers.find('='), numbers.size());
        const auto text = readFile(numbers.substr(std::min(equals + 1, numbers.size())));
        status.Update(text.ok() ? report.addNumbers(numbers.substr(0, equals), *text) : text.status());
    }
    for (const std::string &figure : m_figures) {
        status.Update(report.addFigure(figure));
    }
    for (const std::string &name : m_picks) {
        status.Update(report.pick(name));
    }
    for (const std::string &requirement : m_requirements) {
        status.Update(report.require(requirement));
    }
    for (const std::string &aim : m_aims) {
        status.Update(report.aim(aim));
    }
    return status;
}

}
