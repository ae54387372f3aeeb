"""All constants of sailward, each with its unit and the reason for its value.

They are read and set here, as `constants.NAME`.
"""

from sailward.constants.hosted import *
