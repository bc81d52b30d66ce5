"""Writes simple plots as SVG text."""

import math

WIDTH, HEIGHT, LEFT, BOTTOM, TOP, RIGHT = 760, 380, 70, 60, 40, 190
COLORS = ["#1f5fa8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#34495e", "#7f8c8d", "#16a085"]


def _text(x, y, text, anchor="middle", size=12):
    escaped = str(text).replace("&", "&amp;").replace("<", "&lt;")
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" font-size="{size}">{escaped}</text>'


def _frame(title, x_label, y_label):
    return [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif">',
            f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
            _text((LEFT + WIDTH - RIGHT) / 2, 22, title, size=15),
            _text((LEFT + WIDTH - RIGHT) / 2, HEIGHT - 12, x_label),
            f'<text transform="translate(16 {(TOP + HEIGHT - BOTTOM) / 2:.1f}) rotate(-90)" text-anchor="middle" '
            f'font-size="12">{y_label}</text>']


def _position(value, least, most, start, end, is_log):
    if is_log:
        value, least, most = (math.log10(max(number, 1e-3)) for number in (value, least, most))
    return start + (value - least) / ((most - least) or 1) * (end - start)


def _y_axis(least, most, is_log):
    """Lines and labels, and the function from value to y."""
    def place(value):
        return _position(value, least, most, HEIGHT - BOTTOM, TOP, is_log)
    if is_log:
        ticks = [10 ** power for power in range(math.ceil(math.log10(least) - 1e-9),
                                                math.floor(math.log10(most) + 1e-9) + 1)]
    else:
        ticks = [least + (most - least) * step / 5 for step in range(6)]
    parts = []
    for tick in ticks:
        parts.append(f'<line x1="{LEFT}" y1="{place(tick):.1f}" x2="{WIDTH - RIGHT}" y2="{place(tick):.1f}" '
                     'stroke="#ddd"/>')
        parts.append(_text(LEFT - 6, place(tick) + 4, f"{tick:g}", "end"))
    return parts, place


def lines(title, x_label, y_label, series, marks=(), is_log=False):
    """series: name -> [(x, y)]; marks: horizontal lines (y, label)."""
    points = [point for values in series.values() for point in values]
    xs, ys = [x for x, _ in points] or [0, 1], [y for _, y in points] + [y for y, _ in marks] or [0, 1]
    least = 10 ** math.floor(math.log10(max(min(ys), 0.1))) if is_log else 0
    most = 10 ** math.ceil(math.log10(max(ys + [1]))) if is_log else max(ys) * 1.05
    axis, place_y = _y_axis(least, most, is_log)

    def place_x(value):
        return _position(value, min(xs), max(xs), LEFT, WIDTH - RIGHT, False)
    parts = _frame(title, x_label, y_label) + axis
    for step in range(6):
        value = min(xs) + (max(xs) - min(xs)) * step / 5
        parts.append(_text(place_x(value), HEIGHT - BOTTOM + 18, f"{value:g}"))
    for y, label in marks:
        parts.append(f'<line x1="{LEFT}" y1="{place_y(y):.1f}" x2="{WIDTH - RIGHT}" y2="{place_y(y):.1f}" '
                     'stroke="black" stroke-dasharray="5 4"/>')
        parts.append(_text(WIDTH - RIGHT + 6, place_y(y) + 4, label, "start"))
    for number, (name, values) in enumerate(series.items()):
        color = COLORS[number % len(COLORS)]
        path = " ".join(f"{place_x(x):.1f},{place_y(y):.1f}" for x, y in values)
        parts.append(f'<polyline points="{path}" fill="none" stroke="{color}" stroke-width="2"/>')
        parts.append(f'<rect x="{WIDTH - RIGHT + 8}" y="{TOP + 20 * number}" width="12" height="12" fill="{color}"/>')
        parts.append(_text(WIDTH - RIGHT + 26, TOP + 20 * number + 10, name, "start"))
    return "\n".join(parts + ["</svg>", ""])
