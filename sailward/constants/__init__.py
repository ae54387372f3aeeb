"""All constants of sailward, each with its unit, meaning and the reason for its value.

They are read and replaced through this module, as `constants.NAME`.
"""

from sailward.constants.hosted import *
